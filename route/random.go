package route

import "math/bits"

// random is a splitmix64 generator. It lives on the stack, so a placement decision with a
// seed as its argument allocates nothing.
type random uint64

func (r *random) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (r *random) intN(n int) int {
	hi, _ := bits.Mul64(r.next(), uint64(n))
	return int(hi)
}

// coprime returns a stride that is coprime to n, so that n steps of this length visit
// each of n positions once.
func (r *random) coprime(n int) int {
	if n <= 2 {
		return 1
	}
	for {
		stride := 1 + r.intN(n-1)
		if gcd(stride, n) == 1 {
			return stride
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

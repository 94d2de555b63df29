package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/heatherrail/heatherrail/result"
)

// errorBody is OpenAI's shape of an error, with the numbered code.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
	Run     string `json:"run"`
}

func errorJSON(r *result.Error) []byte {
	info := r.Code.Info()
	text, _ := json.Marshal(errorBody{errorDetail{ // plain structs always encode
		Message: info.Meaning + " " + r.Detail,
		Type:    info.Name,
		Code:    int(r.Code),
		Run:     info.Run.String(),
	}})
	return text
}

// refuse answers a request that has no answer of its target.
func (e *Entry) refuse(c fiber.Ctx, err error) error {
	r := result.From(err)
	info := r.Code.Info()
	e.opts.Metrics.Result(r.Code)
	e.log.Info("refused", "request", requestID(c), "code", int(r.Code), "reason", info.Name, "detail", r.Detail)
	c.Set(HeaderResult, strconv.Itoa(int(r.Code)))
	c.Set(HeaderRun, info.Run.String())
	if wait := r.Wait(); wait > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(info.Status).Send(errorJSON(r))
}

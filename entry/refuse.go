package entry

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/heatherrail/heatherrail/result"
)

// errorBody is an error in OpenAI's format, with the numeric result code.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the content of an errorBody.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
	Run     string `json:"run"`
}

// errorJSON encodes an error for the caller.
func errorJSON(r *result.Error) []byte {
	info := r.Code.Info()
	text, _ := json.Marshal(errorBody{errorDetail{ // a struct of strings and ints always encodes
		Message: info.Meaning + " " + r.Detail,
		Type:    info.Name,
		Code:    int(r.Code),
		Run:     info.Run.String(),
	}})
	return text
}

// refuse answers a request with an error of the entry.
func (e *Entry) refuse(c fiber.Ctx, err error) error {
	r := result.From(err)
	info := r.Code.Info()
	e.opts.Metrics.CountResult(r.Code)
	e.log.Info("refused", "request", requestID(c), "code", int(r.Code), "reason", info.Name, "detail", r.Detail)
	c.Set(HeaderResult, strconv.Itoa(int(r.Code)))
	c.Set(HeaderRun, info.Run.String())
	if wait := r.Wait(); wait > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(info.Status).Send(errorJSON(r))
}

package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/claim"
	"sliphead/internal/outcome"
)

// replayedHeader on an answer says that it was kept from an earlier run.
const replayedHeader = "Sliphead-Replayed"

const maxKeyLength = 255

// claim lets a request with an idempotency key run only while this node holds
// the key. Requests that may be repeated, and those without a key, go on.
func (in *Inbound) claim(next stage) stage {
	return func(x *exchange) result {
		if x.route.Repeatable || !hasHeader(x.request.Header, outcome.IdempotencyKey) {
			return next(x)
		}
		key := get(x.request.Header, outcome.IdempotencyKey)
		if in.config.Claims == nil {
			return refuse(causeClaim, time.Second, "set up claims on this node, it cannot guard an Idempotency-Key")
		}
		decision := in.config.Claims.Claim(x.context, x.route.Service, key, digestOf(x))
		if decision.Verdict != claim.VerdictRun {
			return withheld(decision)
		}
		ended := next(x)
		if ended.outcome == outcome.NotRun {
			in.config.Claims.Release(x.route.Service, key, decision.Holder)
		} else {
			in.config.Claims.Finish(x.route.Service, key, decision.Holder, ended.keep(in.config.Limits.KeptAnswer))
		}
		return ended
	}
}

// withheld is the ending of a request that this node does not run. When the
// same request ran before or may be running it is not told as not run.
func withheld(decision claim.Decision) result {
	switch decision.Verdict {
	case claim.VerdictAnswered:
		return replay(decision.Answer)
	case claim.VerdictRan:
		return unknown(http.StatusConflict, causeClaim, "this key ran before or may have, look up what it came to; its answer is no longer kept")
	case claim.VerdictBusy:
		busy := unknown(http.StatusConflict, causeClaim, "this key may be running now, send the same request with the same key again for its answer")
		busy.retryAfter = time.Second
		return busy
	case claim.VerdictMismatch:
		return reject(http.StatusUnprocessableEntity, causeClaim, "use a new Idempotency-Key, this one belongs to another request")
	default:
		return refuse(causeClaim, time.Second, "send it again later, no majority of the key's replicas answered")
	}
}

func validKey(values []string) bool {
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxKeyLength {
		return false
	}
	for index := range len(values[0]) {
		if b := values[0][index]; b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// digestOf tells requests under one key apart: by method, target and body, a
// streamed body by its length.
func digestOf(x *exchange) string {
	hash := sha256.New()
	hash.Write([]byte(x.request.Method + "\n" + x.request.URL.RequestURI() + "\n" + strconv.FormatInt(x.body.length, 10) + "\n"))
	hash.Write(x.body.whole)
	return hex.EncodeToString(hash.Sum(nil))
}

// keptAnswer is a whole answer as it is kept under a key.
type keptAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// keep encodes the answer, nil if it is not whole or longer than the limit.
func (r *result) keep(limit int64) []byte {
	if r.answer == nil || int64(len(r.answer.whole)) > limit {
		return nil
	}
	header := http.Header{}
	copyEndToEnd(header, r.answer.response.Header)
	encoded, err := json.Marshal(keptAnswer{Status: r.status, Header: header, Body: r.answer.whole})
	if err != nil || int64(len(encoded)) > limit {
		return nil
	}
	return encoded
}

// replay turns a kept answer into the ending of another try.
func replay(encoded []byte) result {
	var kept keptAnswer
	if err := json.Unmarshal(encoded, &kept); err != nil || kept.Status < http.StatusOK {
		return unknown(http.StatusConflict, causeClaim, "this key ran before, look up what it came to; its kept answer cannot be read")
	}
	response := &http.Response{StatusCode: kept.Status, Header: kept.Header, Body: http.NoBody, ContentLength: int64(len(kept.Body))}
	return result{
		outcome: outcome.Answered,
		status:  kept.Status,
		cause:   causeNone,
		answer:  &answer{response: response, whole: kept.Body, isWhole: true, replayed: true},
	}
}

package traffic

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/ascii"
	"sliphead/internal/claim"
	"sliphead/internal/outcome"
)

// replayedHeader marks a response that was stored by an earlier run of the request.
const replayedHeader = "Sliphead-Replayed"

const maxKeyLength = 255

// claim runs a request with an idempotency key only if this node can claim the key.
// Repeatable requests and requests without a key pass unchanged.
func (in *Inbound) claim(next stage) stage {
	return func(x *exchange) result {
		if x.route.Repeatable || !hasHeader(x.request.Header, outcome.IdempotencyKey) {
			return next(x)
		}
		key := get(x.request.Header, outcome.IdempotencyKey)
		if in.config.Claims == nil {
			return refuse(causeClaim, time.Second, "set up claims on this node, it cannot guard an Idempotency-Key")
		}
		decision := in.config.Claims.Claim(x.context, x.route.Service, key, requestDigest(x))
		if decision.Verdict != claim.VerdictRun {
			return resultWithoutRun(decision)
		}
		ended := next(x)
		if ended.outcome == outcome.NotRun {
			in.config.Claims.Release(x.route.Service, key, decision.Holder)
		} else {
			in.config.Claims.Finish(x.route.Service, key, decision.Holder, ended.encodeForReplay(in.config.Limits.StoredResponse))
		}
		return ended
	}
}

// resultWithoutRun returns the result of a request that is not run because of its claim. The
// outcome is not not-run when the same request ran before or may be running.
func resultWithoutRun(decision claim.Decision) result {
	switch decision.Verdict {
	case claim.VerdictAnswered:
		return replay(decision.Response)
	case claim.VerdictAlreadyRan:
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
	return len(values) == 1 && values[0] != "" && len(values[0]) <= maxKeyLength && ascii.IsVisible(values[0])
}

// requestDigest distinguishes requests that use the same key. It covers method, target and
// body; of a streamed body it covers the length only.
func requestDigest(x *exchange) string {
	hash := sha256.New()
	hash.Write([]byte(x.request.Method + "\n" + x.request.URL.RequestURI() + "\n" + strconv.FormatInt(x.body.length, 10) + "\n"))
	hash.Write(x.body.whole)
	return hex.EncodeToString(hash.Sum(nil))
}

// storedResponse is the encoding of a complete response stored under an idempotency key.
type storedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// encodeForReplay encodes the response. It returns nil if the response is incomplete, or if
// its body or its encoding is longer than limit bytes.
func (r *result) encodeForReplay(limit int64) []byte {
	if r.answer == nil || int64(len(r.answer.whole)) > limit {
		return nil
	}
	header := http.Header{}
	copyEndToEnd(header, r.answer.response.Header)
	encoded, err := json.Marshal(storedResponse{Status: r.status, Header: header, Body: r.answer.whole})
	if err != nil || int64(len(encoded)) > limit {
		return nil
	}
	return encoded
}

// replay returns the result of a repeated request from the stored response.
func replay(encoded []byte) result {
	var stored storedResponse
	if err := json.Unmarshal(encoded, &stored); err != nil || stored.Status < http.StatusOK {
		return unknown(http.StatusConflict, causeClaim, "this key ran before, look up what it came to; its kept answer cannot be read")
	}
	response := &http.Response{StatusCode: stored.Status, Header: stored.Header, Body: http.NoBody, ContentLength: int64(len(stored.Body))}
	return result{
		outcome: outcome.Answered,
		status:  stored.Status,
		cause:   causeNone,
		answer:  &answer{response: response, whole: stored.Body, isWhole: true, replayed: true},
	}
}

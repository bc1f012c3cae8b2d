package server

import (
	"net/http"
	"strconv"

	"cowslipbend.dev"
)

// Status returns the HTTP status for a kind of error.
func Status(k cowslipbend.Kind) int {
	switch k {
	case cowslipbend.KindInvalid:
		return http.StatusBadRequest
	case cowslipbend.KindConflict, cowslipbend.KindStale:
		return http.StatusConflict
	case cowslipbend.KindMissing:
		return http.StatusNotFound
	case cowslipbend.KindDenied:
		return http.StatusForbidden
	case cowslipbend.KindLimited:
		return http.StatusTooManyRequests
	case cowslipbend.KindBusy, cowslipbend.KindDown, cowslipbend.KindLeaving:
		return http.StatusServiceUnavailable
	case cowslipbend.KindLate:
		return http.StatusGatewayTimeout
	case cowslipbend.KindUnknown:
		return http.StatusBadGateway
	case cowslipbend.KindBroken:
	}
	return http.StatusInternalServerError
}

// retryAfter returns the value of the header Retry-After, in whole seconds,
// rounded up.
func retryAfter(s cowslipbend.Span) string {
	return strconv.FormatInt(int64((s+cowslipbend.Second-1)/cowslipbend.Second), 10)
}

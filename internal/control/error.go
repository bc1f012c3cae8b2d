package control

import (
	"errors"

	"github.com/twitchtv/twirp"

	"cowslipbend.dev"
)

// Keys of the Twirp metadata that carry the fields of a cowslipbend.Error.
const (
	metaKind   = "kind"
	metaRemedy = "remedy"
)

// ToTwirp returns a Twirp error with the kind, the remedy and the whole text of
// err.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	e := cowslipbend.AsError(err)
	t := twirp.NewError(twirpCode(e.Kind), e.Error())
	return t.WithMeta(metaKind, string(e.Kind)).WithMeta(metaRemedy, e.Remedy)
}

func twirpCode(k cowslipbend.Kind) twirp.ErrorCode {
	switch k {
	case cowslipbend.KindInvalid:
		return twirp.InvalidArgument
	case cowslipbend.KindMissing:
		return twirp.NotFound
	case cowslipbend.KindDenied:
		return twirp.PermissionDenied
	case cowslipbend.KindConflict, cowslipbend.KindStale:
		return twirp.FailedPrecondition
	case cowslipbend.KindLimited:
		return twirp.ResourceExhausted
	case cowslipbend.KindBusy, cowslipbend.KindDown, cowslipbend.KindLeaving:
		return twirp.Unavailable
	case cowslipbend.KindLate:
		return twirp.DeadlineExceeded
	case cowslipbend.KindUnknown, cowslipbend.KindBroken:
	}
	return twirp.Internal
}

// FromTwirp returns a *cowslipbend.Error with what ToTwirp has put into the error.
// For any other error it returns KindUnknown, as the call may have taken effect.
func FromTwirp(err error) error {
	if err == nil {
		return nil
	}
	t, ok := errors.AsType[twirp.Error](err)
	if !ok || t.Meta(metaKind) == "" {
		return cowslipbend.Failf(cowslipbend.KindUnknown, err, "call again on a new connection", "call got no valid reply")
	}
	return cowslipbend.Fail(cowslipbend.Kind(t.Meta(metaKind)), t.Msg(), t.Meta(metaRemedy))
}

package failure

import (
	"errors"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

func TestFromFindsTypedFailureInErrorChain(t *testing.T) {
	inner := New(Overloaded, NotRun, "the pool is full")
	found := From(eris.Wrap(inner, "dispatch"))
	require.Equal(t, Overloaded, found.Kind)
	require.Equal(t, NotRun, found.Outcome)
}

// TestFromNeverClaimsNotRunForUntypedErrors guards against telling a caller that its
// request did not run when this is not known.
func TestFromNeverClaimsNotRunForUntypedErrors(t *testing.T) {
	found := From(errors.ErrUnsupported)
	require.Equal(t, Internal, found.Kind)
	require.Equal(t, Unknown, found.Outcome)
	require.ErrorIs(t, found, errors.ErrUnsupported)
}

func TestStatusOfKinds(t *testing.T) {
	require.Equal(t, http.StatusUnauthorized, Unauthorized.Status())
	require.Equal(t, http.StatusInternalServerError, Kind("no-such-kind").Status())
}

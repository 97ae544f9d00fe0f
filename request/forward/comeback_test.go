package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRefusedCallersComeBackSpreadOutAndWithTimeLeft(t *testing.T) {
	const left = 8 * time.Second
	require.Equal(t, busyFirst, comeBack(false, left, 0))
	require.Equal(t, busyFirst+busySpread/2, comeBack(false, left, 0.5))
	require.Greater(t, comeBack(true, left, 0), comeBack(false, left, 0.9))
	require.LessOrEqual(t, comeBack(true, time.Second, 0.9), time.Second/3)
	require.Equal(t, comeBackLeast, comeBack(true, -time.Second, 0))
}

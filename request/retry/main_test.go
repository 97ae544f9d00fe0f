package retry

import (
	"testing"

	"verbenaseam.example/verbenaseam/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m, "1") }

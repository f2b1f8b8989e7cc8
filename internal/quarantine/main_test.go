package quarantine

import (
	"testing"

	"github.com/walldrift/walldrift/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

package edge

import (
	"errors"
	"math"
	"strconv"
	"time"
)

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func formatRatio(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }

func formatBool(b bool) string { return strconv.FormatBool(b) }

// decay returns the fraction of a value that remains after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// asError reports whether the chain of err holds an error of type T, and stores
// it in target.
func asError[T error](err error, target *T) bool { return errors.As(err, target) }

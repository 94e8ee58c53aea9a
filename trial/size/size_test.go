package size

import (
	"fmt"
	"math"
	"os"
	"testing"
)

func ExampleFit() {
	s := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	fmt.Printf("%.0f + %.0f each, error %.0f\n", s.Intercept, s.Slope, s.MaxError)
	// Output: 3 + 2 each, error 0
}

func TestFitError(t *testing.T) {
	s := Fit([]float64{0, 1, 2}, []float64{0, 3, 0})
	if s.Slope != 0 || s.Intercept != 1 || s.MaxError != 2 {
		t.Fatalf("%+v, want intercept 1, slope 0, error 2", s)
	}
	if s := Fit([]float64{2, 2}, []float64{1, 3}); s.Intercept != 2 || math.IsNaN(s.Slope) {
		t.Fatalf("%+v, want intercept 2 for a single size", s)
	}
}

func TestProcess(t *testing.T) {
	resident, _, err := processUsage(os.Getpid())
	if err != nil || resident < megabyte {
		t.Fatalf("resident %g, error %v", resident, err)
	}
}

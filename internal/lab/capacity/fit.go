package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Form is the shape of a law, chosen where a curve is defined.
type Form int

// The forms there are.
const (
	Power     Form = iota // a·n^b, by a straight line in logs
	Affine                // a + b·n
	Quadratic             // a + b·n + c·n²
	Flat                  // a
)

// Law is a form with its numbers; At gives its value.
type Law struct {
	Form    Form
	A, B, C float64
}

// At gives the law's value at size n.
func (l Law) At(n float64) float64 {
	switch l.Form {
	case Power:
		return l.A * math.Pow(n, l.B)
	case Affine:
		return l.A + l.B*n
	case Quadratic:
		return l.A + l.B*n + l.C*n*n
	}
	return l.A
}

// String gives the law as a formula.
func (l Law) String() string {
	switch l.Form {
	case Power:
		return fmt.Sprintf("%.4g·n^%.3f", l.A, l.B)
	case Affine:
		return fmt.Sprintf("%.4g + %.4g·n", l.A, l.B)
	case Quadratic:
		return fmt.Sprintf("%.4g + %.4g·n + %.4g·n²", l.A, l.B, l.C)
	}
	return fmt.Sprintf("%.4g", l.A)
}

// Fit fits a law of that form to values by least squares of relative errors: in logs for a power, else weighted by 1/value².
// A power needs values above zero.
func Fit(form Form, sizes []int, values []float64) (Law, error) {
	if len(sizes) != len(values) || len(sizes) < 4 {
		return Law{}, fmt.Errorf("%d values at %d sizes do not give a law", len(values), len(sizes))
	}
	n, weights := make([]float64, len(sizes)), make([]float64, len(sizes))
	for i, s := range sizes {
		n[i] = float64(s)
		weights[i] = 1 / math.Max(values[i]*values[i], 1e-30)
	}
	switch form {
	case Power:
		x, y, err := logs(sizes, values)
		if err != nil {
			return Law{}, err
		}
		a, b := stat.LinearRegression(x, y, nil, false)
		return Law{Power, math.Exp(a), b, 0}, nil
	case Affine:
		a, b := stat.LinearRegression(n, values, weights, false)
		return Law{Affine, a, b, 0}, nil
	case Quadratic:
		rows, want := mat.NewDense(len(n), 3, nil), mat.NewVecDense(len(n), nil)
		for i, s := range n {
			w := math.Sqrt(weights[i])
			rows.SetRow(i, []float64{w, w * s, w * s * s})
			want.SetVec(i, w*values[i])
		}
		var found mat.VecDense
		if err := found.SolveVec(rows, want); err != nil {
			if _, poor := err.(mat.Condition); !poor { // a poor condition still gives the least squares
				return Law{}, err
			}
		}
		return Law{Quadratic, found.AtVec(0), found.AtVec(1), found.AtVec(2)}, nil
	case Flat:
		return Law{Flat, stat.Mean(values, nil), 0, 0}, nil
	}
	return Law{}, fmt.Errorf("no form %d", form)
}

func logs(sizes []int, values []float64) (x, y []float64, err error) {
	for i, v := range values {
		if v <= 0 || sizes[i] <= 0 {
			return nil, nil, fmt.Errorf("%v at size %d has no logarithm", v, sizes[i])
		}
		x, y = append(x, math.Log(float64(sizes[i]))), append(y, math.Log(v))
	}
	return x, y, nil
}

// slope gives the exponent in logs over all sizes and its standard error; not a number where a value is not above zero.
func slope(sizes []int, values []float64) (exponent, err float64) {
	x, y, none := logs(sizes, values)
	if none != nil {
		return math.NaN(), math.NaN()
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	var left, spread float64
	middle := stat.Mean(x, nil)
	for i := range x {
		r := y[i] - a - b*x[i]
		left += r * r
		spread += (x[i] - middle) * (x[i] - middle)
	}
	return b, math.Sqrt(left / float64(len(x)-2) / spread)
}

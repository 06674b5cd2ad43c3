package scale

// linearFit is the linear function value = fixed + slope * nodes.
type linearFit struct {
	fixed, slope float64
}

// leastSquares returns the least-squares line through the points. With fewer than two
// different sizes its slope is zero and its fixed part the mean.
func leastSquares(sizes, values []float64) linearFit {
	n := float64(len(sizes))
	if n == 0 {
		return linearFit{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += values[i]
		sumXX += x * x
		sumXY += x * values[i]
	}
	denominator := n*sumXX - sumX*sumX
	if denominator == 0 {
		return linearFit{fixed: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return linearFit{fixed: (sumY - slope*sumX) / n, slope: slope}
}

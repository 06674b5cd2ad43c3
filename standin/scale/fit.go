package scale

// line is the linear function value = fixed + slope * nodes.
type line struct {
	fixed, slope float64
}

// fit returns the least-squares line through the points. With fewer than two different sizes
// its slope is zero and its fixed part the mean.
func fit(sizes, values []float64) line {
	n := float64(len(sizes))
	if n == 0 {
		return line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += values[i]
		sumXX += x * x
		sumXY += x * values[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return line{fixed: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return line{fixed: (sumY - slope*sumX) / n, slope: slope}
}

package main

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"strconv"

	"golang.org/x/perf/benchfmt"
)

// Results holds the values that benchmarks report. A benchmark that ran several times has several values per metric.
type Results struct {
	values map[metricID][]float64
}

// metricID identifies a metric: the last element of the package path, the name of the benchmark without the suffix for
// GOMAXPROCS, and the unit.
type metricID struct {
	pkg  string
	name string
	unit string
}

func (m metricID) String() string { return m.pkg + " " + m.name + " " + m.unit }

var procsSuffix = regexp.MustCompile(`-\d+$`)

// LoadResults reads the output of go test -bench.
func LoadResults(path string) (Results, error) {
	r := Results{values: make(map[metricID][]float64)}
	file, err := os.Open(path)
	if err != nil {
		return r, err
	}
	defer func() { _ = file.Close() }()
	reader := benchfmt.NewReader(file, path)
	for reader.Scan() {
		if result, ok := reader.Result().(*benchfmt.Result); ok {
			r.add(result)
		}
	}
	return r, reader.Err()
}

func (r Results) add(result *benchfmt.Result) {
	pkg := lastElement(result.GetConfig("pkg"))
	name := procsSuffix.ReplaceAllString(string(result.Name), "")
	for _, v := range result.Values {
		value, unit := v.Value, v.Unit
		if v.OrigUnit != "" {
			value, unit = v.OrigValue, v.OrigUnit
		}
		m := metricID{pkg: pkg, name: name, unit: unit}
		r.values[m] = append(r.values[m], value)
	}
}

func lastElement(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return path[i+1:]
		}
	}
	return path
}

// Value returns the mean of the values of a metric, and false if there is none.
func (r Results) Value(pkg, name, unit string) (float64, bool) {
	all := r.values[metricID{pkg: pkg, name: name, unit: unit}]
	if len(all) == 0 {
		return 0, false
	}
	sum := 0.0
	for _, v := range all {
		sum += v
	}
	return sum / float64(len(all)), true
}

// MetricIDs returns the IDs of all metrics in lexical order.
func (r Results) MetricIDs() []metricID {
	all := make([]metricID, 0, len(r.values))
	for m := range r.values {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].String() < all[j].String() })
	return all
}

// Point is the value of a metric at a size, such as a number of nodes or records.
type Point struct {
	size  int
	value float64
}

// Series returns the values of the benchmarks whose names match pattern, by size. The first group of pattern is the size.
func (r Results) Series(pkg, pattern, unit string) ([]Point, error) {
	re, err := regexp.Compile("^" + pattern + "$")
	if err != nil {
		return nil, err
	}
	var points []Point
	for m := range r.values {
		groups := re.FindStringSubmatch(m.name)
		if m.pkg != pkg || m.unit != unit || groups == nil {
			continue
		}
		size, err := strconv.Atoi(groups[1])
		if err != nil {
			return nil, err
		}
		value, _ := r.Value(m.pkg, m.name, m.unit)
		points = append(points, Point{size: size, value: value})
	}
	if len(points) == 0 {
		return nil, fmt.Errorf("no benchmark of package %s matches %s with unit %s", pkg, pattern, unit)
	}
	sort.Slice(points, func(i, j int) bool { return points[i].size < points[j].size })
	return points, nil
}

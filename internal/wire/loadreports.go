package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
	"madderhollow/internal/settings"
)

// loadReportDecoder decodes load reports, which are JSON objects with the value of each load metric by its name. It
// decodes into a struct with a field for each name of a configured metric, so that the other members of an object cost
// no memory, however many there are.
type loadReportDecoder struct {
	metrics    []assign.LoadMetric // configured metrics, in the order of the values that decode returns
	structType reflect.Type        // type of the struct that a report is decoded into; its fields are pointers to float64
	columns    []int               // index in metrics of the metric of each field
}

// newLoadReportDecoder returns a decoder for the configured load metrics.
func newLoadReportDecoder(metrics []assign.LoadMetric) loadReportDecoder {
	decoder := loadReportDecoder{metrics: metrics}
	var fields []reflect.StructField
	for column, metric := range metrics {
		for _, name := range settings.LoadMetricNames(metric) {
			fields = append(fields, reflect.StructField{
				Name: fmt.Sprintf("Metric%d", len(fields)),
				Type: reflect.TypeFor[*float64](),
				Tag:  reflect.StructTag("json:" + strconv.Quote(name)),
			})
			decoder.columns = append(decoder.columns, column)
		}
	}
	decoder.structType = reflect.StructOf(fields)
	return decoder
}

// decode returns the values of a load report in the order of the configured metrics, in the units of package assign. It
// returns nil if the value of any metric is missing or invalid: a zero in its place would make the endpoint look idle.
// The other fields of the message remain valid.
func (d loadReportDecoder) decode(data json.RawMessage) []float64 {
	if len(data) == 0 || len(d.metrics) == 0 {
		return nil
	}
	report := reflect.New(d.structType)
	if json.Unmarshal(data, report.Interface()) != nil {
		return nil
	}
	values := make([]float64, len(d.metrics))
	found := make([]bool, len(d.metrics))
	for field, column := range d.columns {
		value, ok := report.Elem().Field(field).Interface().(*float64)
		if !ok || value == nil {
			continue
		}
		metric := d.metrics[column]
		if !fieldcheck.InRange(*value, maxLoadMetricValue(metric)) {
			return nil
		}
		values[column] = settings.LoadValue(metric, *value)
		found[column] = true
	}
	for _, ok := range found {
		if !ok {
			return nil
		}
	}
	return values
}

// maxLoadMetricValue returns the largest valid value of a load metric, in the unit that the protocol uses for the
// metric.
func maxLoadMetricValue(metric assign.LoadMetric) float64 {
	if metric == assign.MetricBusyFraction {
		return maxBusyFraction
	}
	return maxFieldValue
}

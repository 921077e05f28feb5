package event

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

//go:embed timeline.html.tmpl
var pageSource string

var page = template.Must(template.New("timeline").Parse(pageSource))

const (
	// chartWidth and the following widths and heights are in pixels.
	chartWidth  = 1000
	labelWidth  = 230
	laneHeight  = 18
	groupHeight = 6
	// tickCount is the number of labels on the time axis.
	tickCount = 8
)

// pageData is the content of the HTML page.
type pageData struct {
	Height    int
	Width     int
	Label     int
	Lanes     []lane
	Ticks     []tick
	Marks     []mark
	Kinds     []Kind
	Processes []string
}

// lane is the row of one process within one kind.
type lane struct {
	Kind    Kind
	Process string
	Y       int
	Middle  int
}

// tick is a label of the time axis.
type tick struct {
	X    float64
	Text string
}

// mark is one event in the chart and in the list.
type mark struct {
	Event
	Time  string
	Text  string
	X     float64
	Y     int
	Color string
}

// colors are the colors of the marks by kind.
var colors = map[Kind]string{
	KindRequest: "#3572b0", KindLease: "#2e8b57", KindOrder: "#b8860b", KindConfig: "#7b52ab", KindFault: "#c0392b",
}

// WriteHTML writes a page that needs no other file: a chart with one row per
// kind and process, and a list of all events. The reader can filter both by kind,
// process and text. events must be in order, as Merge returns them.
func WriteHTML(w io.Writer, events []Event) error {
	if err := page.Execute(w, layout(events)); err != nil {
		return eris.Wrap(err, "write HTML timeline")
	}
	return nil
}

// layout computes the content of the page.
func layout(events []Event) pageData {
	data := pageData{Width: labelWidth + chartWidth, Label: labelWidth, Kinds: Kinds}
	present := map[Kind]map[string]bool{}
	for _, e := range events {
		if present[e.Kind] == nil {
			present[e.Kind] = map[string]bool{}
		}
		present[e.Kind][e.Process] = true
		if !slices.Contains(data.Processes, e.Process) {
			data.Processes = append(data.Processes, e.Process)
		}
	}
	slices.Sort(data.Processes)
	laneMiddles := data.addLanes(present)
	data.addTicks(events)
	for _, e := range events {
		data.Marks = append(data.Marks, mark{
			Event: e, Time: e.At.Time().Format(timeLayout), Text: e.Describe(),
			X: position(events, e.At.WallMs), Y: laneMiddles[laneKey{e.Kind, e.Process}], Color: colors[e.Kind],
		})
	}
	return data
}

type laneKey struct {
	kind    Kind
	process string
}

// addLanes adds the rows and returns the vertical middle of each. A kind without
// events gets one empty row, which shows that there are none.
func (d *pageData) addLanes(present map[Kind]map[string]bool) map[laneKey]int {
	laneMiddles := map[laneKey]int{}
	y := laneHeight
	for _, kind := range Kinds {
		for _, process := range d.Processes {
			if !present[kind][process] {
				continue
			}
			laneMiddles[laneKey{kind, process}] = y + laneHeight/2
			d.Lanes = append(d.Lanes, lane{kind, process, y, y + laneHeight/2})
			y += laneHeight
		}
		if len(present[kind]) == 0 {
			d.Lanes = append(d.Lanes, lane{kind, "(none)", y, y + laneHeight/2})
			y += laneHeight
		}
		y += groupHeight
	}
	d.Height = y
	return laneMiddles
}

// addTicks adds tickCount labels to the time axis, at equal intervals from the
// first event.
func (d *pageData) addTicks(events []Event) {
	if len(events) == 0 {
		return
	}
	first := events[0].At.Time()
	for i := range tickCount {
		at := first.Add(span(events) * time.Duration(i) / tickCount)
		d.Ticks = append(d.Ticks, tick{position(events, at.UnixMilli()), at.Format(timeLayout)})
	}
}

// position returns the horizontal position of a wall clock time in the chart, in
// pixels.
func position(events []Event, wallMs int64) float64 {
	passed := float64(wallMs - events[0].At.WallMs)
	return labelWidth + passed/float64(span(events).Milliseconds())*(chartWidth-laneHeight)
}

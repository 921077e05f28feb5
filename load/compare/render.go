package compare

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// save draws the plots one below the other and writes them as name.svg and
// name.png.
func save(name string, plots []*plot.Plot) error {
	svg := vgsvg.New(plotWidth, plotHeight)
	drawStacked(draw.New(svg), plots)
	if err := write(name+".svg", svg); err != nil {
		return err
	}
	png := vgimg.New(plotWidth, plotHeight)
	drawStacked(draw.New(png), plots)
	return write(name+".png", vgimg.PngCanvas{Canvas: png})
}

func drawStacked(canvas draw.Canvas, plots []*plot.Plot) {
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: plotWidth / 60}
	for i, p := range plots {
		p.Draw(tiles.At(canvas, 0, i))
	}
}

func write(name string, picture io.WriterTo) error {
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create picture")
	}
	if _, err := picture.WriteTo(file); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write picture")
	}
	return eris.Wrap(file.Close(), "close picture")
}

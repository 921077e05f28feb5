package table

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/mimosakeel/mimosakeel/internal/strictjson"
	"github.com/mimosakeel/mimosakeel/record"
)

// File is the content of a table file: the rows and the version of the table
// that the operator edited.
type File struct {
	// Version is the version that `table show` printed; NoOffset before the
	// first edit. Publishing fails if it's no longer the current one, so that an
	// outdated file can't undo the edit of another operator.
	Version int64 `json:"version"`
	Table
}

// fileContent lists the members of a table file, because the decoder doesn't
// look into embedded structs.
type fileContent struct {
	Version   int64      `json:"version"`
	Customers []Customer `json:"customers"`
	Models    []Model    `json:"models"`
	Services  []Service  `json:"services"`
	Limits    []Limit    `json:"limits"`
}

// Parse decodes and validates a table file; name is used in messages only. The
// error is a strictjson.Problems, which gives line and row of every problem.
func Parse(name string, data []byte) (File, error) {
	content := fileContent{Version: record.NoOffset}
	document := strictjson.Decode(name, data, &content)
	t := Table{content.Customers, content.Models, content.Services, content.Limits}
	if document.Parsed() {
		if content.Version < record.NoOffset {
			document.Report("version", "must be at least %d", record.NoOffset)
		}
		t.validate(document.Report)
	}
	if err := document.Problems().Err(); err != nil {
		return File{}, err
	}
	t.canonicalize()
	return File{Version: content.Version, Table: t}, nil
}

// Format encodes a table file in the form that Parse accepts.
func Format(f File) []byte {
	var b bytes.Buffer
	b.WriteString("// Publishing fails if \"version\" is no longer the current one.\n")
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	content := fileContent{f.Version, f.Customers, f.Models, f.Services, f.Limits}
	content.fillEmpty()
	if err := encoder.Encode(content); err != nil {
		panic(fmt.Sprintf("table file can't be encoded: %v", err))
	}
	return b.Bytes()
}

// fillEmpty replaces nil lists, which would be encoded as null.
func (c *fileContent) fillEmpty() {
	c.Customers = append([]Customer{}, c.Customers...)
	c.Models = append([]Model{}, c.Models...)
	c.Services = append([]Service{}, c.Services...)
	c.Limits = append([]Limit{}, c.Limits...)
}

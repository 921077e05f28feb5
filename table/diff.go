package table

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Edit is a change of the table: rows to set and rows to delete.
type Edit struct {
	Set    Table
	Delete []RowID
}

// Empty reports whether the edit changes nothing.
func (e *Edit) Empty() bool { return e.Set.Rows() == 0 && len(e.Delete) == 0 }

// EditBetween returns the edit that turns the canonical table old into updated.
func EditBetween(old, updated *Table) Edit {
	var e Edit
	e.Set.Customers = changedRows(&e.Delete, old.Customers, updated.Customers)
	e.Set.Models = changedRows(&e.Delete, old.Models, updated.Models)
	e.Set.Services = changedRows(&e.Delete, old.Services, updated.Services)
	e.Set.Limits = changedRows(&e.Delete, old.Limits, updated.Limits)
	return e
}

// changedRows returns the new and changed rows and appends the IDs of the
// removed rows to deleted.
func changedRows[R row](deleted *[]RowID, old, updated []R) []R {
	before := indexRows(old)
	var changed []R
	for _, r := range updated {
		previous, existed := before[r.id()]
		if !existed || !reflect.DeepEqual(previous, r) {
			changed = append(changed, r)
		}
		delete(before, r.id())
	}
	for _, r := range old {
		if _, removed := before[r.id()]; removed {
			*deleted = append(*deleted, r.id())
		}
	}
	return changed
}

func indexRows[R row](rows []R) map[RowID]R {
	byID := make(map[RowID]R, len(rows))
	for _, r := range rows {
		byID[r.id()] = r
	}
	return byID
}

// Diff describes an edit of the canonical table old for an operator, one line
// per row: "+" marks a new row, "-" a deleted one and "~" a changed one.
func Diff(old *Table, e Edit) []string {
	var lines []string
	lines = describeRows(lines, old.Customers, e.Set.Customers)
	lines = describeRows(lines, old.Models, e.Set.Models)
	lines = describeRows(lines, old.Services, e.Set.Services)
	lines = describeRows(lines, old.Limits, e.Set.Limits)
	for _, id := range e.Delete {
		lines = append(lines, "- "+id.String())
	}
	return lines
}

func describeRows[R row](lines []string, old, set []R) []string {
	before := indexRows(old)
	for _, r := range set {
		previous, existed := before[r.id()]
		if existed {
			lines = append(lines, "~ "+r.id().String()+": "+describeFields(previous, r, describeChange))
		} else {
			lines = append(lines, "+ "+r.id().String()+": "+describeFields(previous, r, describeNew))
		}
	}
	return lines
}

// describeFields describes the fields in which two rows differ. It skips the
// first field, which is the row's name.
func describeFields[R row](old, updated R, describe func(name string, a, b reflect.Value) string) string {
	from, to := reflect.ValueOf(old), reflect.ValueOf(updated)
	var parts []string
	for i := 1; i < from.NumField(); i++ {
		a, b := from.Field(i), to.Field(i)
		if reflect.DeepEqual(a.Interface(), b.Interface()) {
			continue
		}
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		parts = append(parts, describe(name, a, b))
	}
	return strings.Join(parts, ", ")
}

// describeNew describes a field of a new row by its value.
func describeNew(name string, _, value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return name + " " + strings.Join(formatItems(value), " ")
	}
	return fmt.Sprintf("%s %v", name, value.Interface())
}

// describeChange describes a changed field by its old and new value. For a list
// it returns the added and removed items.
func describeChange(name string, a, b reflect.Value) string {
	if a.Kind() != reflect.Slice {
		return fmt.Sprintf("%s %v -> %v", name, a.Interface(), b.Interface())
	}
	before, after := formatItems(a), formatItems(b)
	var changes []string
	for _, item := range after {
		if !slices.Contains(before, item) {
			changes = append(changes, "+"+item)
		}
	}
	for _, item := range before {
		if !slices.Contains(after, item) {
			changes = append(changes, "-"+item)
		}
	}
	return name + " " + strings.Join(changes, " ")
}

func formatItems(list reflect.Value) []string {
	items := make([]string, list.Len())
	for i := range items {
		items[i] = fmt.Sprint(list.Index(i).Interface())
	}
	return items
}

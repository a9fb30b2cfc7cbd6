package capacity

import (
	"errors"
	"fmt"
	"strings"
)

// ErrPage is a page whose markers cannot be read.
var ErrPage = errors.New("page")

// Generate returns the page with each table between its markers replaced.
func Generate(page string, recording *Recording) (string, error) {
	tables, err := Tables(recording)
	if err != nil {
		return "", err
	}
	for name, text := range tables {
		if page, err = replaceSection(page, name, text); err != nil {
			return "", err
		}
	}
	return page, nil
}

// Tables are the generated tables by the names of their markers.
func Tables(recording *Recording) (map[string]string, error) {
	target := Target()
	twice := target.Times(2)
	rows := Rows(recording)
	tables := map[string]string{"sizes": SizesTable(target, twice), "measurements": MeasurementsTable(recording),
		"messages": MessagesTable(MessageKinds(), target, twice)}
	for _, role := range Roles() {
		text, err := RowsTable(rows, role, recording, target, twice)
		if err != nil {
			return nil, err
		}
		tables[string(role)] = text
	}
	walls, err := Walls(rows, Bounds(), recording, target)
	if err != nil {
		return nil, err
	}
	tables["walls"] = WallsTable(walls, target)
	if tables["suspects"], err = SuspectsTable(Suspects(), rows, recording, target); err != nil {
		return nil, err
	}
	if tables["events"], err = EventsTable(Events(), rows, recording, target, twice); err != nil {
		return nil, err
	}
	return tables, nil
}

// replaceSection replaces what stands between the markers of a name.
func replaceSection(page, name, text string) (string, error) {
	begin := fmt.Sprintf("<!-- capacity:%s begin -->\n", name)
	end := fmt.Sprintf("<!-- capacity:%s end -->\n", name)
	if strings.Count(page, begin) != 1 || strings.Count(page, end) != 1 {
		return "", fmt.Errorf("the markers of capacity:%s must be there once each: %w", name, ErrPage)
	}
	before, rest, _ := strings.Cut(page, begin)
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", fmt.Errorf("capacity:%s ends before it begins: %w", name, ErrPage)
	}
	return before + begin + text + end + after, nil
}

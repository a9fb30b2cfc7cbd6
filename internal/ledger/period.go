package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Period is a billing period, from Start to before End in Unix milliseconds.
type Period struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Start int64  `cbor:"2,keyasint" json:"start_ms"`
	End   int64  `cbor:"3,keyasint" json:"end_ms"`
}

// Calendar cuts time into billing periods of one kind in one time zone. A period in which the zone's clock
// changes is an hour shorter or longer than others.
type Calendar struct {
	Kind string // hour, day, week (from Monday) or month
	Zone *time.Location
}

// NewCalendar checks a kind and a zone's name.
func NewCalendar(kind, zone string) (Calendar, error) {
	switch kind {
	case "hour", "day", "week", "month":
	default:
		return Calendar{}, fmt.Errorf("period %q is none of hour, day, week and month", kind)
	}
	if zone == "" || zone == "Local" { // it would differ from box to box
		return Calendar{}, fmt.Errorf("time zone %q: name one, as Asia/Kolkata", zone)
	}
	loc, err := time.LoadLocation(zone)
	if err != nil {
		return Calendar{}, fmt.Errorf("time zone %q: %w", zone, err)
	}
	return Calendar{kind, loc}, nil
}

// At gives the period of a time.
func (c Calendar) At(ms int64) Period {
	t := time.UnixMilli(ms).In(c.Zone)
	y, m, d := t.Date()
	day := func(plus int) time.Time { return time.Date(y, m, d+plus, 0, 0, 0, 0, c.Zone) }
	var from, to time.Time
	var name string
	switch c.Kind {
	case "hour":
		// An hour of a clock that is set back comes twice: counting in elapsed time keeps the two apart.
		into := time.Duration(t.Minute())*time.Minute + time.Duration(t.Second())*time.Second + time.Duration(t.Nanosecond())
		from = t.Add(-into)
		to = from.Add(time.Hour)
		name = from.Format("2006-01-02T15-0700")
	case "day":
		from, to, name = day(0), day(1), t.Format(time.DateOnly)
	case "week":
		back := (int(t.Weekday()) + 6) % 7
		from, to = day(-back), day(7-back)
		wy, w := t.ISOWeek()
		name = fmt.Sprintf("%04d-W%02d", wy, w)
	default:
		from, to = time.Date(y, m, 1, 0, 0, 0, 0, c.Zone), time.Date(y, m+1, 1, 0, 0, 0, 0, c.Zone)
		name = t.Format("2006-01")
	}
	return Period{name, from.UnixMilli(), to.UnixMilli()}
}

// Named gives the period of a name, as At names it.
func (c Calendar) Named(name string) (Period, bool) {
	var t time.Time
	var err error
	switch c.Kind {
	case "hour":
		t, err = time.Parse("2006-01-02T15-0700", name)
	case "day":
		t, err = time.ParseInLocation(time.DateOnly, name, c.Zone)
	case "week":
		year, week, ok := strings.Cut(name, "-W")
		y, err1 := strconv.Atoi(year)
		w, err2 := strconv.Atoi(week)
		if !ok || err1 != nil || err2 != nil || y < 1970 || y > 9999 || w < 1 || w > 53 {
			return Period{}, false
		}
		t = time.Date(y, 1, 4+7*(w-1), 12, 0, 0, 0, c.Zone) // the fourth of January is in week 1
	default:
		t, err = time.ParseInLocation("2006-01", name, c.Zone)
	}
	if err != nil {
		return Period{}, false
	}
	p := c.At(t.UnixMilli())
	return p, p.Name == name
}

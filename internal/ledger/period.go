package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Period is a billing period: from Start, inclusive, to End, exclusive, in Unix milliseconds.
type Period struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Start int64  `cbor:"2,keyasint" json:"start_ms"`
	End   int64  `cbor:"3,keyasint" json:"end_ms"`
}

// Calendar divides time into billing periods of one kind in one time zone. A period in which daylight saving time
// begins or ends in that zone is shorter or longer than the others.
type Calendar struct {
	Kind string // hour, day, week (from Monday) or month
	Zone *time.Location
}

// NewCalendar returns a calendar of a kind in the time zone of a name; both have to be valid.
func NewCalendar(kind, zone string) (Calendar, error) {
	switch kind {
	case "hour", "day", "week", "month":
	default:
		return Calendar{}, fmt.Errorf("period %q is none of hour, day, week and month", kind)
	}
	if zone == "" || zone == "Local" { // the local zone may differ between servers
		return Calendar{}, fmt.Errorf("time zone %q: set a name such as Asia/Kolkata", zone)
	}
	loc, err := time.LoadLocation(zone)
	if err != nil {
		return Calendar{}, fmt.Errorf("time zone %q: %w", zone, err)
	}
	return Calendar{kind, loc}, nil
}

// At returns the period that contains a time in Unix milliseconds.
func (c Calendar) At(ms int64) Period {
	local := time.UnixMilli(ms).In(c.Zone)
	year, month, date := local.Date()
	day := func(offset int) time.Time { return time.Date(year, month, date+offset, 0, 0, 0, 0, c.Zone) }
	var from, to time.Time
	var name string
	switch c.Kind {
	case "hour":
		// When clocks are set back, an hour of local time repeats. Elapsed time distinguishes the two hours.
		sinceHour := time.Duration(local.Minute())*time.Minute + time.Duration(local.Second())*time.Second + time.Duration(local.Nanosecond())
		from = local.Add(-sinceHour)
		to = from.Add(time.Hour)
		name = from.Format("2006-01-02T15-0700")
	case "day":
		from, to, name = day(0), day(1), local.Format(time.DateOnly)
	case "week":
		sinceMonday := (int(local.Weekday()) + 6) % 7
		from, to = day(-sinceMonday), day(7-sinceMonday)
		weekYear, week := local.ISOWeek()
		name = fmt.Sprintf("%04d-W%02d", weekYear, week)
	default:
		from, to = time.Date(year, month, 1, 0, 0, 0, 0, c.Zone), time.Date(year, month+1, 1, 0, 0, 0, 0, c.Zone)
		name = local.Format("2006-01")
	}
	return Period{name, from.UnixMilli(), to.UnixMilli()}
}

// Named returns the period with a name that At gives its periods; false if there is none.
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
		t = time.Date(y, 1, 4+7*(w-1), 12, 0, 0, 0, c.Zone) // January 4 is always in week 1
	default:
		t, err = time.ParseInLocation("2006-01", name, c.Zone)
	}
	if err != nil {
		return Period{}, false
	}
	period := c.At(t.UnixMilli())
	return period, period.Name == name
}

package control

import (
	"encoding/json"
	"fmt"
	"testing"
)

func wordRows(r string, turn int) []Row {
	rows := []Row{{Kind: KindWords, Name: r + "/head", Body: json.RawMessage(fmt.Sprintf(`{"beat":%d}`, turn/4))}}
	for i := range 16 {
		body := fmt.Sprintf(`[{"s":"searcher","x":%d}]`, turn)
		rows = append(rows, Row{Kind: KindWords, Name: fmt.Sprintf("%s/%02d", r, i), Body: json.RawMessage(body)})
	}
	return rows
}

// TestWordsArePaced has a relay's words all change all the time: they take their part of what a mixer is told and no more, and the
// sign that they stand is told each time.
func TestWordsArePaced(t *testing.T) {
	var seats []Seat
	for i := range 7 {
		seats = append(seats, Seat{Name: fmt.Sprint("r-", i)})
	}
	r, err := NewRelay(100*second, RelayOptions{Name: "r-0", Life: "1", Seats: seats})
	if err != nil {
		t.Fatal(err)
	}
	const seconds = 60
	bytes, heads, index := 0, 0, uint64(0)
	for turn := range 4 * seconds {
		r.Words(100*second+int64(turn)*second/4, wordRows("r-0", turn))
		rows, upto := r.Table().Since(index, []string{KindWords}, 1000, 1<<20)
		index = upto
		for _, row := range rows {
			raw, _ := json.Marshal(row)
			bytes += len(raw)
			if row.Name == "r-0/head" {
				heads++
			}
		}
	}
	most := seconds*Rate/wordsShare/len(seats) + wordsBurst + 1<<10
	if bytes > most || bytes < most/2 || heads != seconds {
		t.Errorf("%d bytes, at most %d; %d signs in %d s", bytes, most, heads, seconds)
	}
}

// TestWordsThatAreGone are not told before they were, and told as gone again where another relay still tells them.
func TestWordsThatAreGone(t *testing.T) {
	r, err := NewRelay(100*second, RelayOptions{Name: "r-0", Life: "1", Seats: []Seat{{Name: "r-0"}, {Name: "r-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	gone := []Row{{Kind: KindWords, Name: "r-0/head", Gone: true}, {Kind: KindWords, Name: "r-0/00", Gone: true}}
	if r.Words(100*second, gone) || len(r.Table().rows) != 0 {
		t.Error("what never was is told as gone")
	}
	r.Words(100*second, wordRows("r-0", 1)[:2])
	held, _ := r.Table().Get(KindWords, "r-0/00")
	if !r.Words(101*second, gone) || r.Words(102*second, gone) || len(r.Table().Rows(KindWords)) != 0 {
		t.Error("it is not told as gone, or twice")
	}
	r.take([]Row{held})
	if was, _ := r.Table().Get(KindWords, "r-0/00"); !r.Words(103*second, gone) {
		t.Error("another tells it as there, and it is not told as gone again")
	} else if is, _ := r.Table().Get(KindWords, "r-0/00"); !is.Gone || is.Number <= was.Number {
		t.Errorf("%+v, was %+v", is, was)
	}
	for _, row := range r.zones(104 * second) {
		t.Errorf("a word is told as a zone: %+v", row)
	}
}

// TestWordsOfALifeBefore go as the relay is back and says something else.
func TestWordsOfALifeBefore(t *testing.T) {
	r, err := NewRelay(100*second, RelayOptions{Name: "r-0", Life: "2", Seats: []Seat{{Name: "r-0"}, {Name: "r-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	old := wordRows("r-0", 1)[:2]
	for i := range old {
		old[i].Stamp = Stamp{1, 500, "r-0"}
	}
	r.take(old)
	r.Words(101*second, []Row{{Kind: KindWords, Name: "r-0/head", Gone: true}, {Kind: KindWords, Name: "r-0/00", Gone: true}})
	if n := len(r.Table().Rows(KindWords)); n != 0 {
		t.Errorf("%d rows of an earlier life stand", n)
	}
	for _, row := range r.zones(102 * second) {
		t.Errorf("a word is told as a zone: %+v", row)
	}
}

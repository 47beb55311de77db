package control

import "bytes"

const (
	wordsShare = 4       // of what a mixer is told, one part in so many is all relays' words
	wordsBurst = 2 << 10 // bytes of one relay's, at once
)

// Words tells rows of KindWords as this relay's own, gone ones too. Those that differ from what was told last go as far as their pace
// allows, in their order, the first of them always: it says that the others stand. It tells whether anything changed.
func (r *Relay) Words(now int64, rows []Row) (changed bool) {
	for i, row := range rows {
		old, ok := r.table.Get(row.Kind, row.Name)
		same := !ok && row.Gone || ok && old.Gone == row.Gone && bytes.Equal(old.Body, row.Body)
		if row.Kind != KindWords || same && !r.retellSaid[row.Name] {
			continue
		}
		if i > 0 && !row.Gone && r.words.wait(now) > 0 {
			continue
		}
		delete(r.retellSaid, row.Name)
		r.rowNumber++
		row.Stamp = Stamp{1, r.rowNumber, r.o.Name}
		news, refused := r.table.Merge([]Row{row})
		if r.notAllowed += refused; len(news) > 0 {
			r.words.spend(r.table.rows[key{row.Kind, row.Name}].size)
			changed = true
		}
	}
	return changed
}

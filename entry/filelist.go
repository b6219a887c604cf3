package entry

import (
	"net/http"
	"sort"

	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/ledger"
)

type fileList struct {
	Object  string     `json:"object"`
	Data    []fileBody `json:"data"`
	FirstID string     `json:"first_id,omitempty"`
	LastID  string     `json:"last_id,omitempty"`
	HasMore bool       `json:"has_more"`
}

type deletedFile struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// listFiles lists the customer's uploaded files, the newest first.
func (e *Entry) listFiles(w http.ResponseWriter, r *http.Request, c *caller) error {
	p, err := readPage(r)
	if err != nil {
		return err
	}
	files, err := e.opts.Keeper.Files(r.Context(), c.customer.Name)
	if err != nil {
		return err
	}
	list, err := newFileList(files, r.URL.Query().Get("purpose"), p)
	if err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, list)
	return nil
}

// newFileList returns a page of the files of a purpose, or of all if it is "".
func newFileList(files []ledger.File, purpose string, p page) (*fileList, error) {
	var chosen []ledger.File
	for i := range files {
		if purpose == "" || files[i].Purpose == purpose {
			chosen = append(chosen, files[i])
		}
	}
	sort.Slice(chosen, func(i, j int) bool {
		if chosen[i].CreatedUnix != chosen[j].CreatedUnix {
			return chosen[i].CreatedUnix > chosen[j].CreatedUnix
		}
		return chosen[i].File < chosen[j].File
	})
	from, to, more, err := p.cut(len(chosen), func(i int) string { return chosen[i].File })
	if err != nil {
		return nil, err
	}
	list := &fileList{Object: objectList, Data: []fileBody{}, HasMore: more}
	for i := from; i < to; i++ {
		list.Data = append(list.Data, newFileBody(&chosen[i]))
	}
	if len(list.Data) > 0 {
		list.FirstID = list.Data[0].ID
		list.LastID = list.Data[len(list.Data)-1].ID
	}
	return list, nil
}

// deleteFile forgets an uploaded file. A batch made of it keeps its items; the
// results of a batch are kept with it and can't be deleted.
func (e *Entry) deleteFile(w http.ResponseWriter, r *http.Request, c *caller) error {
	id := r.PathValue("id")
	if _, _, ok := outputJob(id); ok {
		return invalid("id", "the results of a batch are kept with it")
	}
	if err := e.opts.Keeper.DeleteFile(r.Context(), c.customer.Name, id); err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, deletedFile{ID: id, Object: "file", Deleted: true})
	return nil
}

package entry

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/keeper"
	"github.com/peridotmount/peridotmount/ledger"
)

type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileBody(f *ledger.File) fileBody {
	return fileBody{
		ID:        f.File,
		Object:    "file",
		Bytes:     f.Bytes,
		CreatedAt: f.CreatedUnix,
		Filename:  f.Name,
		Purpose:   f.Purpose,
		Status:    "processed",
	}
}

// createFile keeps an uploaded file. It is read part by part: memory stays
// bounded whatever its size.
func (e *Entry) createFile(w http.ResponseWriter, r *http.Request, c *caller) error {
	boundBody(w, uploadTimeout)
	stop := stopReading(w, e.shutdown.ending)
	u := newUpload(e, c)
	err := u.readForm(w, r)
	if !stop() {
		return shuttingDown()
	}
	boundBody(w, 0)
	if err != nil {
		return err
	}
	f, err := u.finish(r.Context())
	if err != nil {
		return err
	}
	w.Header().Set(HeaderRunState, string(dispatch.Completed))
	httpjson.WriteJSON(w, http.StatusOK, newFileBody(f))
	return nil
}

// readForm keeps the parts of the form.
func (u *upload) readForm(w http.ResponseWriter, r *http.Request) error {
	r.Body = http.MaxBytesReader(w, r.Body, maxFileBytes)
	parts, err := r.MultipartReader()
	if err != nil {
		return invalid("body", "not a multipart form: "+err.Error())
	}
	for {
		part, err := parts.NextPart()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return invalid("body", "the form was not read: "+err.Error())
		}
		switch part.FormName() {
		case "purpose":
			u.commit.Purpose = readShort(part)
		case "file":
			u.commit.Name = part.FileName()
			err = u.copy(r.Context(), part)
		}
		if err != nil {
			return err
		}
	}
}

func readShort(r io.Reader) string {
	data, _ := io.ReadAll(io.LimitReader(r, maxCustomIDBytes))
	return string(data)
}

func newUpload(e *Entry, c *caller) *upload {
	nonce := newID()
	partition := keeper.PartitionOf(c.customer.Name, nonce, e.opts.Partitions)
	return &upload{
		keeper: e.opts.Keeper,
		lines:  newLineChecker(),
		commit: ledger.FileCommit{
			File:        keeper.FileID(partition, nonce),
			Customer:    c.customer.Name,
			CreatedUnix: time.Now().Unix(),
		},
	}
}

func (e *Entry) getFile(w http.ResponseWriter, r *http.Request, c *caller) error {
	id := r.PathValue("id")
	if job, _, ok := outputJob(id); ok {
		return e.getOutputFile(w, r, c, job, id)
	}
	f, err := e.opts.Keeper.File(r.Context(), c.customer.Name, id)
	if err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, newFileBody(f))
	return nil
}

func (e *Entry) getOutputFile(w http.ResponseWriter, r *http.Request, c *caller, job, id string) error {
	j, err := e.opts.Keeper.Job(r.Context(), c.customer.Name, job)
	if err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, fileBody{
		ID:        id,
		Object:    "file",
		CreatedAt: j.CreatedUnix,
		Filename:  id + ".jsonl",
		Purpose:   "batch_output",
		Status:    "processed",
	})
	return nil
}

func (e *Entry) fileContent(w http.ResponseWriter, r *http.Request, c *caller) error {
	id := r.PathValue("id")
	out := bufio.NewWriter(w)
	visit := func(part []byte) error {
		_, err := out.Write(part)
		return errors.Wrap(err, "write answer")
	}
	var err error
	if job, errorLines, ok := outputJob(id); ok {
		err = e.opts.Keeper.ReadOutput(r.Context(), c.customer.Name, job, errorLines, visit)
	} else {
		err = e.opts.Keeper.ReadFile(r.Context(), c.customer.Name, id, visit)
	}
	if err != nil {
		return err
	}
	return out.Flush()
}

package keeper

import (
	"context"

	"github.com/peridotmount/peridotmount/ledger"
)

// FileList lists the files of one customer in one partition.
type FileList struct {
	Files []ledger.File `json:"files"`
}

var (
	opFiles      = operation[IDMessage, FileList]{"files", false, (*leader).listFiles}
	opDeleteFile = operation[IDMessage, Empty]{"delete-file", false, (*leader).deleteFile}
)

func (l *leader) listFiles(_ context.Context, m *IDMessage) (*FileList, error) {
	state, unlock, err := l.partition.stateIfLeader()
	if err != nil {
		return nil, err
	}
	defer unlock()
	list := &FileList{}
	for _, f := range state.Files(m.Customer) {
		list.Files = append(list.Files, *f)
	}
	return list, nil
}

func (l *leader) deleteFile(ctx context.Context, m *IDMessage) (*Empty, error) {
	if _, err := l.file(ctx, m); err != nil {
		return nil, err
	}
	deletion := &ledger.FileDelete{File: m.ID, Customer: m.Customer}
	return &Empty{}, l.partition.propose(ctx, ledger.Entry{FileDelete: deletion})
}

// Files returns all files of a customer, from all partitions.
func (c *Client) Files(ctx context.Context, customer string) ([]ledger.File, error) {
	var out []ledger.File
	for i := range c.keeper.opts.Partitions {
		list, err := call(ctx, c, i, opFiles, &IDMessage{Customer: customer})
		if err != nil {
			return nil, err
		}
		out = append(out, list.Files...)
	}
	return out, nil
}

// DeleteFile deletes a file of a customer. Jobs created from it keep their items,
// as these were copied.
func (c *Client) DeleteFile(ctx context.Context, customer, id string) error {
	_, err := callByID(ctx, c, opDeleteFile, customer, id)
	return err
}

package cli

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/objects"
)

// readSet reads the objects in the INI files of a directory.
func readSet(dir string) ([]objects.Object, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, errors.Wrap(err, "list objects")
	}
	if len(files) == 0 {
		return nil, errors.Errorf("no *.ini files in %s", dir)
	}
	sort.Strings(files)
	var list []objects.Object
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read objects")
		}
		some, err := objects.Parse(filepath.Base(file), data)
		if err != nil {
			return nil, errors.Wrap(ErrInvalid, err.Error())
		}
		list = append(list, some...)
	}
	return list, nil
}

// readCheckedSet reads the objects of a directory and checks the whole set.
func readCheckedSet(dir string) ([]objects.Object, error) {
	list, err := readSet(dir)
	if err != nil {
		return nil, err
	}
	if _, err := objects.Compile(list); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return list, nil
}

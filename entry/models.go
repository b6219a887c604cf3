package entry

import (
	"net/http"
	"sort"

	"github.com/peridotmount/peridotmount/dispatch"
	"github.com/peridotmount/peridotmount/httpjson"
	"github.com/peridotmount/peridotmount/objects"
)

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

func (e *Entry) listModels(w http.ResponseWriter, _ *http.Request, c *caller) error {
	list := modelList{Object: objectList, Data: []modelBody{}}
	for _, name := range c.customer.Services {
		if s := c.set.Services[name]; s != nil && s.Kind == objects.ServiceModel {
			list.Data = append(list.Data, newModelBody(s))
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	httpjson.WriteJSON(w, http.StatusOK, list)
	return nil
}

func (e *Entry) getModel(w http.ResponseWriter, r *http.Request, c *caller) error {
	s, err := modelService(c, r.PathValue("model"))
	if err != nil {
		return err
	}
	httpjson.WriteJSON(w, http.StatusOK, newModelBody(s))
	return nil
}

func newModelBody(s *objects.Service) modelBody {
	return modelBody{ID: s.Name, Object: "model", OwnedBy: s.Model}
}

// modelService returns a model service that the caller may use.
func modelService(c *caller, name string) (*objects.Service, error) {
	s := c.set.Services[name]
	if s == nil || s.Kind != objects.ServiceModel || !c.customer.MayUse(name) {
		return nil, modelNotFound("no model service " + name + " for the customer")
	}
	return s, nil
}

func modelNotFound(message string) *APIError {
	return &APIError{
		Status:   http.StatusNotFound,
		Code:     CodeModelNotFound,
		Type:     typeInvalidRequest,
		Param:    "model",
		Message:  message,
		RunState: dispatch.NotRun,
	}
}

package gateway

import (
	"encoding/json"
	"net/http"
	"sort"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels responds with the models that the customer may use.
func listModels(q *request) *Error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range q.customer.Models {
		if q.g.Directory.HasModel(name) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "mimosakeel"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		return unavailable("internal", "the list could not be encoded", RunNever)
	}
	_ = q.writeJSON(http.StatusOK, body)
	return nil
}

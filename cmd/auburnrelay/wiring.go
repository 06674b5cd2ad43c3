package main

import (
	"github.com/auburnrelay/auburnrelay/node"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/objects/httpstore"
)

func init() {
	runNode = node.Run
	openStore = func(url string) (objects.Store, error) { return httpstore.New(url, httpstore.Options{}), nil }
}

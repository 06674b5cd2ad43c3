package main

import (
	"github.com/auburnrelay/auburnrelay/node"
	"github.com/auburnrelay/auburnrelay/objects"
	"github.com/auburnrelay/auburnrelay/platform/objectstore"
)

func init() {
	runNode = node.Run
	openStore = func(url string) (objects.Store, error) { return objectstore.New(url, objectstore.Options{}), nil }
}

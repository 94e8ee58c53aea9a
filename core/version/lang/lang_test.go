package lang_test

import (
	"fmt"

	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/state"
)

func ExampleParse() {
	list, err := lang.Parse(`assign engine e1 role decode; ask engines where role = decode show name, role`)
	if err != nil {
		fmt.Println(err)
		return
	}
	change, _ := list[0].Change()
	fmt.Println(change.Verb, change.Noun, change.Name, change.Fields)
	d := lang.Data{View: state.View{Engines: []state.Engine{{Name: "e1", Role: state.RoleDecode}}}}
	table, err := lang.Ask(d, list[1])
	fmt.Println(table.Columns, table.Rows, err)
	// Output:
	// assign engine e1 [{role decode}]
	// [name role] [[e1 decode]] <nil>
}

func ExampleError() {
	_, err := lang.Parse("ask engines where rule = decode")
	fmt.Println(err)
	// Output:
	// line 1, column 19: engine has no column "rule"
	//   ask engines where rule = decode
	//                     ^
	// expected one of name, url, centre, role, model, adapter, revision, build, phase, fenced, version
}

package standin_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/standin"
)

func TestLogReturnsFromACopy(t *testing.T) {
	f := newLogFixture(t, standin.DefaultLogSettings())
	f.fill(3)
	f.c.Assert(f.control("restore"), qt.Equals, http.StatusBadRequest)
	f.c.Assert(f.control("copy"), qt.Equals, http.StatusNoContent)
	f.fill(2)
	f.c.Assert(f.read(5, 0).Era(), qt.Equals, record.Era(1))
	f.c.Assert(f.control("restore"), qt.Equals, http.StatusNoContent)

	page := f.read(5, 0)
	f.c.Assert(platform.ClassOf(page.Err()), qt.Equals, platform.ClassRewound)
	f.c.Assert(page.Era(), qt.Equals, record.Era(2))
	offset, err := f.append("new")
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(offset, qt.Equals, record.Offset(3), qt.Commentf("the offset of a lost entry is given out again"))
	page = f.read(0, 0)
	f.c.Assert(page.Entries(), qt.HasLen, 4)
	f.c.Assert(string(page.Entries()[3].Data()), qt.Equals, "new")
}

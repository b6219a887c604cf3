package follow

import "github.com/peridotmount/peridotmount/platform"

// smallestPage is the least that one read asks for, in KiB: a page of it arrives
// within a call's time-out at a tenth of the rate at which a large one does.
const smallestPage = 64

// pageSize chooses how much one read asks for. All hosts share what the store can
// send: asked again at full size, a page that came too late would come too late
// each time, and take the room of those that might arrive.
type pageSize struct{ kilobytes int }

func newPageSize() pageSize { return pageSize{kilobytes: platform.PageKilobytes} }

// failed makes the next page smaller, as the last did not arrive.
func (p *pageSize) failed() {
	p.kilobytes = max(p.kilobytes/2, smallestPage)
}

// arrived lets the next page be larger.
func (p *pageSize) arrived() {
	p.kilobytes = min(p.kilobytes*2, platform.PageKilobytes)
}

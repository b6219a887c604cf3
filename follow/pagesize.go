package follow

import "github.com/peridotmount/peridotmount/platform"

// minPageKilobytes is the minimum page size of a read, in KiB. A page of this size
// arrives within a call's timeout at a tenth of the rate that a full-size page needs.
const minPageKilobytes = 64

// pageSize chooses the page size of reads. All hosts share the store's bandwidth: if a
// page that timed out were requested again at full size, it would time out each time and
// take bandwidth from pages that could arrive in time.
type pageSize struct{ kilobytes int }

func newPageSize() pageSize { return pageSize{kilobytes: platform.PageKilobytes} }

// shrink halves the size of the next page after one that did not arrive.
func (p *pageSize) shrink() {
	p.kilobytes = max(p.kilobytes/2, minPageKilobytes)
}

// grow doubles the size of the next page after one that arrived.
func (p *pageSize) grow() {
	p.kilobytes = min(p.kilobytes*2, platform.PageKilobytes)
}

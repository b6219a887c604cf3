package slots

import "time"

const (
	// tickEvery is the time between two looks at what waits.
	tickEvery = 20 * time.Millisecond
	// shareEvery is the time between two looks at which hosts take part.
	shareEvery = 100 * time.Millisecond
	// settleTime is the time in which the hosts announce what they run to a new
	// scheduler, before it starts batch items.
	settleTime = 300 * time.Millisecond

	// newsEvery is the time between two lists of the hosts that are alive though the
	// store doesn't say so, well below the time after which they count as lost.
	newsEvery = time.Second

	// downPing is the time between two signs of life of a scheduler, and
	// upPing that of a host.
	downPing = 100 * time.Millisecond
	upPing   = 500 * time.Millisecond
	// schedulerSilence is how long a scheduler may be silent: three signs of life
	// and the time between regions.
	schedulerSilence = 350 * time.Millisecond
	// hostSilence is how long a host may be silent.
	hostSilence = 1600 * time.Millisecond

	// electEvery is the time between two looks at who should schedule.
	electEvery = 100 * time.Millisecond
	// connectTimeout bounds the opening of a session: some round trips between
	// regions, and a slow host's work.
	connectTimeout = 150 * time.Millisecond
	// firstBackoff and lastBackoff bound how long a host that could not be
	// reached is passed over; behind a cut that is over, each host takes its
	// share of the slots for as long as the other side still does without it.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = time.Second
	// confirmEvery is the time between two confirmations of the directory: three hundred
	// hosts read it 600 times a second then, a twentieth of what the store takes.
	// confirmTimeout bounds one, while no other host is tried.
	confirmEvery   = 500 * time.Millisecond
	confirmTimeout = 400 * time.Millisecond
	// backoffKept is how long after its end a pause is remembered.
	backoffKept = time.Minute
	// fewAnswers is how many hosts in a row may be gone, or have started again,
	// before the directory counts as behind.
	fewAnswers = 4
)

// Bounds of the rings.
const (
	inputRing  = 4096
	outboxRing = 1024
	// offersInHello bounds the items that a host offers to a new scheduler: some 250
	// bytes each, below lineBytes together. The others are read of, or wait.
	offersInHello = 2000
)

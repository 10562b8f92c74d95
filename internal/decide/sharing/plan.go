package sharing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// floorShare is the part of the mean share that each class, account and priority gets at least. The operators' rule is 0.25; the
	// rest covers chance.
	floorShare = 0.3
	// usualTolerance is the multiple of its usual demand up to which an account has no excess, since demand varies by chance.
	usualTolerance = 1.4
	// minUsualShare is the part of the mean usual demand that counts as usual for each account, so that one that has been quiet
	// is not all excess when it asks again.
	minUsualShare = 0.5
	// minDivisor takes the place of work and rates by which is divided, since they may be 0.
	minDivisor = 1e-9
	// minRetryAfter and maxRetryAfter bound the time after which a rejected caller may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
	// timeLeftShare is the part of the time that it has left for which a caller waits to retry.
	timeLeftShare = 1.0 / 3
)

// Demand is what is asked of a service at all entries.
type Demand struct {
	// Asked is the work a second by class, and Usual what accounts usually ask for.
	Asked map[Class]float64
	Usual map[string]float64
	// Capacity is the work a second that the servers can do.
	Capacity float64
}

// Plan is the part of the calls of each class that is admitted. The zero value admits all. It is immutable.
type Plan struct {
	parts map[Class]float64
	// ranks order the classes by how late their rejected callers are asked to come back.
	ranks map[Class]int
	// asked and capacity are the work a second by which the plan was made.
	asked, capacity float64
}

// NewPlan returns the plan for a demand: all is admitted if the capacity suffices.
func NewPlan(demand Demand) Plan {
	total := sum(demand.Asked)
	if total <= demand.Capacity || total <= 0 {
		return Plan{}
	}
	floor := floorShare * demand.Capacity / total
	parts := demand.parts(floor)
	// Small accounts may get more than the others, so that the mean of the shares is above that of the calls. A higher floor
	// lowers it.
	if higher := floorShare * demand.meanShare(parts); higher > floor && sum(demand.floors(higher)) <= demand.Capacity {
		parts = demand.parts(higher)
	}
	return Plan{parts: parts, ranks: demand.ranks(parts), asked: total, capacity: demand.Capacity}
}

// parts returns the part of each class that is admitted, at least a floor.
func (demand Demand) parts(floor float64) map[Class]float64 {
	admitted, left := demand.floors(floor), demand.Capacity
	for _, work := range admitted {
		left -= work
	}
	usual := demand.usualWork()
	for _, isExcess := range []bool{false, true} {
		for _, priority := range demand.priorities() {
			wanted := map[Class]float64{}
			for class, asked := range demand.Asked {
				if class.Priority != priority {
					continue
				}
				if !isExcess {
					asked = usual[class]
				}
				wanted[class] = max(0, asked-admitted[class])
			}
			given := min(1, max(0, left)/max(sum(wanted), minDivisor))
			for class, work := range wanted {
				admitted[class] += given * work
			}
			left -= given * sum(wanted)
		}
	}
	parts := map[Class]float64{}
	for class, asked := range demand.Asked {
		if asked > 0 {
			parts[class] = min(1, admitted[class]/asked)
		}
	}
	return parts
}

// floors returns the work of each class that is admitted whatever its priority: a floor of what it asks for, and
// floorShare of the mean share of accounts and priorities, if it asks for that much.
func (demand Demand) floors(floor float64) map[Class]float64 {
	accounts, priorities := sumByAccount(demand.Asked), map[int]float64{}
	for class, asked := range demand.Asked {
		priorities[class.Priority] += asked
	}
	ofAccount := floorShare * demand.Capacity / float64(len(accounts))
	ofPriority := floorShare * demand.Capacity / float64(len(priorities))
	floors := map[Class]float64{}
	for class, asked := range demand.Asked {
		part := max(floor, ofAccount/max(accounts[class.Account], minDivisor), ofPriority/max(priorities[class.Priority], minDivisor))
		floors[class] = asked * min(1, part)
	}
	return floors
}

// usualWork returns the work of each class that is no excess of its account. An account's excess is that of its lowest priorities.
func (demand Demand) usualWork() map[Class]float64 {
	total := 0.0
	for _, usual := range demand.Usual {
		total += usual
	}
	least := minUsualShare * total / float64(max(1, len(demand.Usual)))
	left := sumByAccount(demand.Asked)
	for account, asked := range left {
		if usual := max(demand.Usual[account], least); asked > usualTolerance*usual && len(demand.Usual) > 0 {
			left[account] = usual
		}
	}
	usual := map[Class]float64{}
	for _, priority := range demand.priorities() {
		for class, asked := range demand.Asked {
			if class.Priority != priority {
				continue
			}
			usual[class] = min(asked, left[class.Account])
			left[class.Account] -= usual[class]
		}
	}
	return usual
}

// priorities returns the priorities of what is asked for, the highest first.
func (demand Demand) priorities() []int {
	set := map[int]bool{}
	for class := range demand.Asked {
		set[class.Priority] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// ranks returns the order of the classes that are rejected in part: by priority, and at the same priority, those with an excess
// last.
func (demand Demand) ranks(parts map[Class]float64) map[Class]int {
	type step struct{ priority, excess int }
	usual, steps := demand.usualWork(), map[Class]step{}
	var order []step
	for class, part := range parts {
		if part < 1 {
			found := step{priority: class.Priority}
			if usual[class] < demand.Asked[class] {
				found.excess = 1
			}
			steps[class] = found
			order = append(order, found)
		}
	}
	slices.SortFunc(order, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.excess, b.excess))
	})
	order = slices.Compact(order)
	ranks := map[Class]int{}
	for class, step := range steps {
		ranks[class] = slices.Index(order, step)
	}
	return ranks
}

// Part returns the part of the calls of a class that is admitted.
func (plan Plan) Part(class Class) float64 {
	if part, ok := plan.parts[class]; ok {
		return part
	}
	return 1
}

// Work returns the work a second that was asked for and that could be done when the plan was made, 0 if all was admitted.
func (plan Plan) Work() (asked, capacity float64) { return plan.asked, plan.capacity }

// Limits reports whether the plan admits less than all calls of any class.
func (plan Plan) Limits() bool { return len(plan.ranks) > 0 }

// RetryAfter returns the time after which a rejected caller of a class may retry, by a random draw in [0, 1). Those of higher
// priorities come back first, and all of them within the time that callers wait.
func (plan Plan) RetryAfter(class Class, timeLeft time.Duration, draw float64) time.Duration {
	steps := 1
	for _, rank := range plan.ranks {
		steps = max(steps, rank+1)
	}
	longest := min(maxRetryAfter, time.Duration(timeLeftShare*float64(timeLeft)))
	position := (float64(plan.ranks[class]) + draw) / float64(steps)
	return minRetryAfter + time.Duration(position*float64(max(0, longest-minRetryAfter)))
}

// meanShare returns the mean part of the work that is admitted, by account or by priority, whichever is higher.
func (demand Demand) meanShare(parts map[Class]float64) float64 {
	type amounts struct{ asked, admitted float64 }
	accounts, priorities := map[string]amounts{}, map[int]amounts{}
	for class, part := range parts {
		asked, account, priority := demand.Asked[class], accounts[class.Account], priorities[class.Priority]
		accounts[class.Account] = amounts{account.asked + asked, account.admitted + part*asked}
		priorities[class.Priority] = amounts{priority.asked + asked, priority.admitted + part*asked}
	}
	byAccount, byPriority := 0.0, 0.0
	for _, amounts := range accounts {
		byAccount += amounts.admitted / amounts.asked / float64(len(accounts))
	}
	for _, amounts := range priorities {
		byPriority += amounts.admitted / amounts.asked / float64(len(priorities))
	}
	return max(byAccount, byPriority)
}

// sum returns the sum of the amounts of all classes.
func sum(amounts map[Class]float64) float64 {
	total := 0.0
	for _, amount := range amounts {
		total += amount
	}
	return total
}

// sumByAccount returns the sums of the amounts of the classes of each account.
func sumByAccount(amounts map[Class]float64) map[string]float64 {
	sums := map[string]float64{}
	for class, amount := range amounts {
		sums[class.Account] += amount
	}
	return sums
}

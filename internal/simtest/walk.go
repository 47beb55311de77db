package simtest

import "math/rand/v2"

// Walk goes so many random ways, each of so many events at the most, through worlds too large to be searched whole. It is the same for
// the same seed.
func Walk(start World, ways, steps int, seed uint64) Result {
	random := rand.New(rand.NewPCG(seed, seed))
	result := Result{}
	for range ways {
		world := start
		var path []string
		for range steps {
			n := world.Choices()
			if n == 0 {
				break
			}
			choice := random.IntN(n)
			path = append(path, world.Name(choice))
			world = world.Next(choice)
			result.States++
			if err := world.Check(); err != nil {
				result.Broken, result.Path = err, path
				return result
			}
		}
	}
	return result
}

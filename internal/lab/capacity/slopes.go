package capacity

// Laws that the sums use: those of the last long run of `nettlelab measure capacity`, by the key of the curve that gave each.
// The measurement holds the deterministic ones to what it fits; the times are those of one core of a machine that others used.
var (
	// mixer: list: ... / searchers
	listBytes         = Law{Affine, -1038, 153.9, 0}
	listAllocations   = Law{Affine, 48.41, 6.003, 0}
	listAllocated     = Law{Power, 817.9, 1.073, 0}
	listTime          = Law{Power, 1.048e-5, 0.941, 0}
	changeBytes       = Law{Flat, 194.8, 0, 0}
	changeAllocations = Law{Flat, 31, 0, 0}
	changeTime        = Law{Flat, 1.226e-5, 0, 0}

	// mixer: module, connections' table, watch, learnt: ... / searchers
	moduleHeld       = Law{Affine, 4432, 445.7, 0}
	tableHeld        = Law{Affine, -1327, 110.4, 0}
	watchHeld        = Law{Affine, 1.398e4, 269.3, 0}
	firstAllocations = Law{Affine, 44.79, 1.758, 0}
	firstTime        = Law{Power, 4.281e-7, 1.022, 0}
	againTime        = Law{Power, 5.436e-8, 1.136, 0}
	oneTime          = Law{Flat, 1.6e-7, 0, 0}
	learntBytes      = Law{Affine, 294.4, 112.3, 0}
	keepTime         = Law{Power, 2.825e-7, 0.891, 0}

	// mixer: settings: ... / searchers, and / mixers
	configBytes         = Law{Affine, -237.3, 153.9, 0}
	configAllocations   = Law{Affine, 304.5, 6.002, 0}
	configAllocated     = Law{Power, 545.4, 1.083, 0}
	configTime          = Law{Power, 3.628e-6, 1.032, 0}
	settingsBytes       = Law{Affine, 189.9, 50.8, 0}
	settingsAllocations = Law{Affine, 3.2e4, 12.01, 0}
	settingsTime        = Law{Power, 3.342e-4, 0.523, 0}

	// mixer: query: ... / parts, / searchers, / holders of a part, / parts in the budget's window
	queryAllocations  = Law{Affine, 6.769, 4.186, 0}
	queryBytes        = Law{Affine, 93.74, 249.2, 0}
	queryAttempts     = Law{Affine, 0, 1, 0}
	queryTime         = Law{Quadratic, -3.48e-5, 8.385e-6, 3.753e-7}
	routerAllocations = Law{Affine, 33.11, 13.42, 0}
	routerTime        = Law{Quadratic, 2.543e-5, 1.111e-5, 3.706e-7}
	queryBySearchers  = Law{Power, 0.004928, -0.057, 0}
	queryByHolders    = Law{Affine, 0.001673, 0.0005388, 0}
	queryByBudget     = Law{Affine, -0.001601, 8.786e-6, 0}
	requestBytes      = Law{Affine, 83, 32, 0}
	framesOut         = Law{Affine, 0, 102, 0}
	framesIn          = Law{Affine, 0, 97, 0}
	answerBytes       = Law{Affine, 27, 87, 0}
	wireAllocations   = Law{Affine, 41.37, 44.21, 0}
	wireTime          = Law{Quadratic, 8.19e-7, 3.543e-6, -8.482e-10}

	// mixer: connections: ... / connections
	connectionsHeld   = Law{Affine, 1.979e4, 6385, 0}
	connectionsStacks = Law{Affine, -1.748e5, 5372, 0}
	spareTime         = Law{Affine, 6e-5, 5e-8, 0}
)

package capacity

// Laws that the sums use: those of the last long run of `nettlelab measure capacity`, by the key of the curve that gave each.
// The measurement holds the deterministic ones to what it fits; the times are those of one core
// of a machine that others used (load 12 to 10 on 8 cores). Those of lists that are read member by member and told in batches are of a run
// of their curves alone, at load 19: reading, changes, what the module holds, first, again, the holds, and what reading a configuration allocates. Those of
// queries but for their bytes on the wire are of a run of their curves alone, at load 4.
var (
	// mixer: list: ... / searchers
	listBytes         = Law{Affine, -1038, 153.9, 0}
	listAllocations   = Law{Affine, 58.18, 6.003, 0}
	listAllocated     = Law{Affine, 5.541e4, 294.7, 0}
	listTime          = Law{Power, 5.48e-6, 1, 0}
	changeBytes       = Law{Flat, 194.8, 0, 0}
	changeAllocations = Law{Flat, 55, 0, 0}
	changeTime        = Law{Flat, 1.29e-5, 0, 0}

	// mixer: module, connections' table, watch, learnt: ... / searchers
	moduleHeld       = Law{Affine, 2671, 564.3, 0}
	tableHeld        = Law{Affine, -1205, 109.3, 0}
	watchHeld        = Law{Affine, 1.191e4, 266.1, 0}
	firstAllocations = Law{Affine, 45.59, 1.823, 0}
	firstTime        = Law{Power, 1.286e-6, 0.967, 0}
	againTime        = Law{Power, 3.187e-8, 1.141, 0}
	holdRows         = Law{Flat, 64, 0, 0}
	firstHold        = Law{Power, 6.037e-6, 0.418, 0}
	changedRows      = Law{Affine, 0.1553, 0.143, 0}
	changedHold      = Law{Power, 1.246e-5, 0.155, 0}
	oneTime          = Law{Flat, 1.635e-7, 0, 0}
	learntBytes      = Law{Affine, 254.6, 112.4, 0}
	keepTime         = Law{Power, 1.104e-7, 0.987, 0}

	// mixer: settings: ... / searchers, and / mixers
	configBytes         = Law{Affine, -237.3, 153.9, 0}
	configAllocations   = Law{Affine, 330.3, 6.004, 0}
	configAllocated     = Law{Affine, 7.587e4, 449.6, 0}
	configTime          = Law{Power, 4.772e-6, 1.021, 0}
	settingsBytes       = Law{Affine, 189.9, 50.8, 0}
	settingsAllocations = Law{Affine, 3.2e4, 12.01, 0}
	settingsTime        = Law{Power, 0.001418, 0.364, 0}

	// mixer: query: ... / parts, / searchers, / holders of a part, / parts in the budget's window
	queryAllocations  = Law{Affine, 3, 1, 0}
	queryBytes        = Law{Affine, 291.3, 199.9, 0}
	queryAttempts     = Law{Affine, 0, 1, 0}
	queryTime         = Law{Affine, -3.857e-6, 3.645e-6, 0}
	routerAllocations = Law{Affine, 26.37, 10.14, 0}
	routerTime        = Law{Affine, 6.546e-5, 9.455e-6, 0}
	queryBySearchers  = Law{Power, 0.0003551, -0.017, 0}
	queryByHolders    = Law{Affine, 0.000147, 3.123e-5, 0}
	queryByBudget     = Law{Affine, 0.0003336, 1.416e-10, 0}
	requestBytes      = Law{Affine, 83, 32, 0}
	framesOut         = Law{Affine, 0, 102, 0}
	framesIn          = Law{Affine, 0, 97, 0}
	answerBytes       = Law{Affine, 27, 87, 0}
	wireAllocations   = Law{Affine, 41.37, 44.21, 0}
	wireTime          = Law{Quadratic, 4.311e-6, 5.562e-6, 7.586e-10}

	// mixer: connections: ... / connections
	connectionsHeld   = Law{Affine, 2.411e4, 6374, 0}
	connectionsStacks = Law{Affine, -1.598e5, 5584, 0}

	// of a long run of their own (load 14 to 30 on 8 cores)
	// mixer: connections: ... / searchers, and / idle connections
	spareSteps  = Law{Flat, 3, 0, 0}
	spareTime   = Law{Flat, 1.09e-4, 0, 0}
	choiceSteps = Law{Power, 14.38, 0.139, 0}
	choiceTime  = Law{Power, 3.915e-7, 0.185, 0}
)

package capacity

// Laws that the sums use: those of the last long run of `nettlelab measure capacity`, by the key of the curve that gave each.
// The measurement holds the deterministic ones to what it fits; the times are those of one core
// of a machine that others used (load 34 to 23 on 8 cores).
var (
	// mixer: list: ... / searchers
	listBytes         = Law{Affine, -1038, 153.9, 0}
	listAllocations   = Law{Affine, 48.41, 6.003, 0}
	listAllocated     = Law{Power, 817.9, 1.073, 0}
	listTime          = Law{Power, 4.507e-6, 1.012, 0}
	changeBytes       = Law{Flat, 194.8, 0, 0}
	changeAllocations = Law{Flat, 31, 0, 0}
	changeTime        = Law{Flat, 8.863e-6, 0, 0}

	// mixer: module, connections' table, watch, learnt: ... / searchers
	moduleHeld       = Law{Affine, 4432, 445.7, 0}
	tableHeld        = Law{Affine, -1205, 109.3, 0}
	watchHeld        = Law{Affine, 1.821e4, 264.9, 0}
	firstAllocations = Law{Affine, 44.79, 1.758, 0}
	firstTime        = Law{Power, 5.299e-7, 0.980, 0}
	againTime        = Law{Power, 5.774e-8, 1.088, 0}
	oneTime          = Law{Flat, 1.598e-7, 0, 0}
	learntBytes      = Law{Affine, 244.8, 112.3, 0}
	keepTime         = Law{Power, 7.888e-8, 1.012, 0}

	// mixer: settings: ... / searchers, and / mixers
	configBytes         = Law{Affine, -237.3, 153.9, 0}
	configAllocations   = Law{Affine, 307.4, 6.002, 0}
	configAllocated     = Law{Power, 543.2, 1.083, 0}
	configTime          = Law{Power, 3.539e-6, 1.014, 0}
	settingsBytes       = Law{Affine, 189.9, 50.8, 0}
	settingsAllocations = Law{Affine, 3.2e4, 12.01, 0}
	settingsTime        = Law{Power, 0.0006103, 0.461, 0}

	// mixer: query: ... / parts, / searchers, / holders of a part, / parts in the budget's window
	queryAllocations  = Law{Affine, 7.751, 4.292, 0}
	queryBytes        = Law{Affine, 99.62, 250.3, 0}
	queryAttempts     = Law{Affine, 0, 1, 0}
	queryTime         = Law{Quadratic, 1.517e-5, 1.226e-6, 3.331e-7}
	routerAllocations = Law{Affine, 31.4, 13.5, 0}
	routerTime        = Law{Quadratic, 3.736e-5, 7.318e-6, 3.542e-7}
	queryBySearchers  = Law{Power, 0.00264, 0.023, 0}
	queryByHolders    = Law{Affine, 0.0006078, 0.0006515, 0}
	queryByBudget     = Law{Affine, -0.001359, 8.551e-6, 0}
	requestBytes      = Law{Affine, 83, 32, 0}
	framesOut         = Law{Affine, 0, 102, 0}
	framesIn          = Law{Affine, 0, 97, 0}
	answerBytes       = Law{Affine, 27, 87, 0}
	wireAllocations   = Law{Affine, 41.95, 44.21, 0}
	wireTime          = Law{Quadratic, 1.295e-5, 6.198e-6, 1.51e-9}

	// mixer: connections: ... / connections
	connectionsHeld   = Law{Affine, 1.896e4, 6373, 0}
	connectionsStacks = Law{Affine, -1.26e5, 5558, 0}
	spareTime         = Law{Affine, 7.727e-5, 3.967e-8, 0}
)

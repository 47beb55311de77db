package capacity

var (
	listBytes, listAllocations, listAllocated, listTime, changeBytes, changeAllocations, changeTime                                        Law
	moduleHeld, tableHeld, watchHeld, firstAllocations, firstTime, againAllocated, againTime, oneTime                                      Law
	learntBytes, keepTime                                                                                                                  Law
	requestBytes, framesOut, framesIn, answerBytes, wireAllocations, wireTime, connectionsHeld                                             Law
	configBytes, configAllocations, configAllocated, configTime, settingsBytes, settingsAllocations, settingsTime                          Law
	queryAllocations, queryBytes, queryAttempts, queryTime, routerAllocations, routerTime, queryBySearchers, queryByHolders, queryByBudget Law
)

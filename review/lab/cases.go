package main

var scenarios = map[string]scenario{
	"ends":  {options{entries: 3, agents: 3, cpu: 16000, guards: true}, playEnds},
	"watch": {options{entries: 3, agents: 3, cpu: 16000, guards: true}, playWatch},
	"crash": {options{entries: 3, agents: 4, cpu: 16000, guards: true}, playCrash},
}

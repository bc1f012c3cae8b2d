package main

var scenarios = map[string]scenario{
	"ends":   {options{entries: 3, agents: 3, cpu: 16000, guards: true}, playEnds},
	"watch":  {options{entries: 3, agents: 3, cpu: 16000, guards: true}, playWatch},
	"advice": {options{entries: 3, agents: 36, cpu: 16000, guards: true, advice: true}, playAdvice},
	"crash":  {options{entries: 3, agents: 4, cpu: 16000, guards: true}, playCrash},
}

// Package executor is the agent's client for the platform's worker process on its
// host. It implements cowslipbend.Machine over the worker's HTTP protocol, whose
// bodies are JSON:
//
//	POST /tasks/start      Start
//	POST /tasks/lease      {TASK: END OF LEASE}
//	POST /tasks/throttle   TaskRequest
//	POST /tasks/evict      TaskRequest
//	POST /tasks/stop       TaskRequest
//	POST /tasks/forget     TaskRequest
//	GET  /status           MachineStatus
package executor

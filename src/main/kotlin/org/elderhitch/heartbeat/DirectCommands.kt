package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.http.Address
import org.elderhitch.leadership.FencingToken

/**
 * A request to the worker on [machine], sent to its own [address]. The worker executes it, early or late, once or
 * repeatedly, as long as [agentEpoch] is its current epoch and it has seen no higher token than [token].
 */
public data class DirectCommands(
    val machine: MachineId,
    val address: Address,
    val agentEpoch: Long,
    val token: FencingToken,
    val commands: List<Command>,
)

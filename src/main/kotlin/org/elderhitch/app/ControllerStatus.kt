package org.elderhitch.app

import org.elderhitch.features.FeatureSet
import org.elderhitch.leadership.Incarnation
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.settings.NodeName

/** Builds the response to `GET /status`; docs/operations.md documents its fields. */
internal class ControllerStatus(
    private val node: NodeName,
    private val incarnation: Incarnation,
    private val leadership: Leadership,
    private val connection: StateConnection,
    private val features: FeatureSet,
    private val metrics: Metrics,
    /** Counts of the actions that this controller requested in its latest term as leader, by recipient. */
    private val actionCounts: () -> Map<String, Map<String, Any?>>,
) {
    /** The status as a JSON object. */
    fun read(): Map<String, Any?> {
        val state = leadership.leadershipState.value
        return linkedMapOf(
            "node" to node.text,
            "run" to incarnation.text,
            "leading" to (state is LeadershipState.Leader),
            "leader" to leaderName(state),
            "term" to state.term.number,
            "reaches_state" to connection.isReachable(),
            "features" to features.status(),
            "orders" to actionCounts(),
            "meters" to metrics.read(),
        )
    }

    private fun leaderName(state: LeadershipState): String? = when (state) {
        is LeadershipState.Leader -> node.text
        is LeadershipState.Follower -> state.leader?.text
    }
}

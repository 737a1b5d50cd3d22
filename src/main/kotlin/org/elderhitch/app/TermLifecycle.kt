package org.elderhitch.app

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.cluster.Cluster
import org.elderhitch.features.FeatureSet
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.store.StateWatch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Starts and ends the terms in which this controller is the leader, and keeps its copy of the state fresh. */
internal class TermLifecycle(
    private val scope: CoroutineScope,
    private val leadership: Leadership,
    private val cluster: Cluster,
    private val stateWatch: StateWatch,
    private val features: FeatureSet,
    /** How often a leader verifies that it has missed no change; the same as the interval of its lease renewals. */
    private val freshnessInterval: Duration,
    /** Called once everything that was recorded before the term was claimed is loaded. */
    private val onLoaded: (Term) -> Unit,
) {
    private var currentTerm: Term? = null

    /** Must be called with each state of [Leadership] in order. */
    fun leadershipChanged(state: LeadershipState) {
        val term = (state as? LeadershipState.Leader)?.term
        if (term == currentTerm) return
        if (currentTerm != null) features.onTermEnded()
        currentTerm = term
        if (state is LeadershipState.Leader) {
            cluster.checkPreviousLeaders()
            scope.launch { load(state) }
            scope.launch { keepFresh(state) }
        }
    }

    /** The leader acts only once everything that was recorded before its term was claimed is loaded. */
    private suspend fun load(leader: LeadershipState.Leader) {
        while (!stateWatch.awaitFreshness() || !features.prepare()) {
            delay(LOAD_RETRY_DELAY)
            if (!isLeading(leader.term)) return
        }
        onLoaded(leader.term)
        if (currentTerm == leader.term) features.onTermStarted(leader)
    }

    /** A leader may send commands and responses only for a limited time after its copy of the state was last fresh. */
    private suspend fun keepFresh(leader: LeadershipState.Leader) {
        while (isLeading(leader.term)) {
            delay(if (stateWatch.checkFreshness()) freshnessInterval else FRESHNESS_RETRY_DELAY)
        }
    }

    private fun isLeading(term: Term): Boolean =
        (leadership.leadershipState.value as? LeadershipState.Leader)?.term == term

    private companion object {
        val LOAD_RETRY_DELAY = 100.milliseconds
        val FRESHNESS_RETRY_DELAY = 300.milliseconds
    }
}

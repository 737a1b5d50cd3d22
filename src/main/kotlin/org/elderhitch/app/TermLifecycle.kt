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

/** Starts and ends the terms that this controller leads, and keeps the leader's knowledge fresh. */
internal class TermLifecycle(
    private val scope: CoroutineScope,
    private val leadership: Leadership,
    private val cluster: Cluster,
    private val stateWatch: StateWatch,
    private val features: FeatureSet,
    /** How often a leader proves that it has missed no change: as often as it renews its lease. */
    private val freshnessInterval: Duration,
    /** Called once everything that was recorded before the claim of the term is known here. */
    private val onLoaded: (Term) -> Unit,
) {
    private var currentTerm: Term? = null

    /** Must be called with each state of [Leadership], in order. */
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

    /** A term acts only once everything that was recorded before its claim is known here. */
    private suspend fun load(leader: LeadershipState.Leader) {
        while (!stateWatch.awaitFreshness() || !features.prepare()) {
            delay(LOAD_RETRY)
            if (!isLeading(leader.term)) return
        }
        onLoaded(leader.term)
        if (currentTerm == leader.term) features.onTermStarted(leader)
    }

    /** A leader's windows for commands and answers extend only as far as its knowledge is fresh. */
    private suspend fun keepFresh(leader: LeadershipState.Leader) {
        while (isLeading(leader.term)) {
            delay(if (stateWatch.checkFreshness()) freshnessInterval else FRESHNESS_RETRY)
        }
    }

    private fun isLeading(term: Term): Boolean =
        (leadership.leadershipState.value as? LeadershipState.Leader)?.term == term

    private companion object {
        val LOAD_RETRY = 100.milliseconds
        val FRESHNESS_RETRY = 300.milliseconds
    }
}

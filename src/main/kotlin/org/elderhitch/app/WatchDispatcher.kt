package org.elderhitch.app

import org.elderhitch.features.FeatureSet
import org.elderhitch.fleet.CatalogRefresher
import org.elderhitch.fleet.FleetMessage
import org.elderhitch.fleet.ProvisioningActor
import org.elderhitch.jobs.JobMessage
import org.elderhitch.jobs.JobRegistry
import org.elderhitch.leadership.Leadership
import org.elderhitch.leadership.LeadershipMessage
import org.elderhitch.scheduler.SchedulerActor
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import org.elderhitch.store.StateWatchListener
import org.elderhitch.tasks.ImageHints
import org.elderhitch.time.MonotonicInstant

/** Tells each slice what the state service says. */
internal class WatchDispatcher(
    private val jobRegistry: JobRegistry,
    private val provisioning: ProvisioningActor,
    private val catalog: CatalogRefresher,
    private val scheduler: SchedulerActor,
    private val leadership: Leadership,
    private val features: () -> FeatureSet,
    private val onUnserved: (String) -> Unit,
) : StateWatchListener {
    override fun snapshot(entries: List<Entry>, revision: Revision) {
        features().unserved(entries)?.let(onUnserved)
        jobRegistry.tell(JobMessage.Snapshot(entries, revision))
        provisioning.tell(FleetMessage.Snapshot(entries))
        features().snapshot(entries)
        entries.firstOrNull { it.key == Keys.TYPES }?.let { catalog.stored(it) }
        entries.firstOrNull { it.key == Keys.IMAGES }?.let { hinted(it) }
        leadership.tell(LeadershipMessage.LeaderObserved(entries.firstOrNull { it.key == Keys.LEADER }))
    }

    override fun changed(changes: List<Change>, revision: Revision) {
        if (changes.isEmpty()) return
        features().unserved(changes.mapNotNull { (it as? Change.Put)?.entry })?.let(onUnserved)
        jobRegistry.tell(JobMessage.Changed(changes))
        provisioning.tell(FleetMessage.Changed(changes))
        features().changed(changes)
        changes.lastOrNull {
            it.key == Keys.IMAGES
        }?.let { change -> (change as? Change.Put)?.let { hinted(it.entry) } }
        val last = changes.lastOrNull { it.key == Keys.LEADER } ?: return
        leadership.tell(LeadershipMessage.LeaderObserved((last as? Change.Put)?.entry))
    }

    /** By the same way as the changes before it, so that it reaches the leader's table after them. */
    override fun freshAsOf(since: MonotonicInstant) = jobRegistry.tell(JobMessage.FreshAsOf(since))

    private fun hinted(entry: Entry) = scheduler.tell(SchedulerMessage.ImageHintsLoaded(ImageHints.decode(entry.value)))
}

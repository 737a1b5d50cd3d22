package org.elderhitch.app

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import org.elderhitch.drmaa.DrmaaCommand
import org.elderhitch.lab.LabCommand
import org.elderhitch.sweeps.SweepCommand
import org.elderhitch.sweeps.TemplateCommand

private const val SERVE = "serve"

/** Names of commands in earlier versions: still accepted, but not listed in the help. */
private val deprecatedNames = mapOf(
    "withdraw" to listOf(CancelCommand.NAME),
    "rehearse" to listOf(TrainClassArchiveCommand.NAME),
)

private class Elderhitch : CoreCliktCommand(name = "elderhitch") {
    init {
        // CoreCliktCommand doesn't exit with the status code of an error by itself.
        context { exitProcess = { code -> kotlin.system.exitProcess(code) } }
        versionOption(Elderhitch::class.java.`package`.implementationVersion ?: "development")
    }

    override fun aliases(): Map<String, List<String>> = deprecatedNames

    override fun run() = Unit
}

/** The entry point. The platform starts a controller with `--config FILE` alone, short for `serve --config FILE`. */
public fun main(args: Array<String>) {
    Logging.configure(System.getenv("LOG_LEVEL"))
    val arguments = if (args.firstOrNull() == "--config") arrayOf(SERVE) + args else args
    // A controller starts with a small share of a CPU core, so it doesn't load classes of commands that it won't run.
    val extensionCommands = if (arguments.firstOrNull() == SERVE) emptyList() else extensionCommands()
    Elderhitch().subcommands(coreCommands() + extensionCommands).main(arguments)
}

private fun coreCommands() = listOf(
    ServeCommand(),
    SubmitCommand(),
    ShowCommand(),
    CancelCommand(),
    ExplainCommand(),
    ReleaseCommand(),
    StatusCommand(),
    StandInsCommand(),
    TrainClassArchiveCommand(),
)

private fun extensionCommands() = listOf(DrmaaCommand(), TemplateCommand(), SweepCommand(), LabCommand())

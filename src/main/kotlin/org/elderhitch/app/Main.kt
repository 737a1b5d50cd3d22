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

private class Elderhitch : CoreCliktCommand(name = "elderhitch") {
    init {
        // Without its terminal parts the library leaves it to the program to end with an error's code.
        context { exitProcess = { code -> kotlin.system.exitProcess(code) } }
        versionOption(Elderhitch::class.java.`package`.implementationVersion ?: "development")
    }

    override fun run() = Unit
}

public fun main(args: Array<String>) {
    Logging.configure(System.getenv("LOG_LEVEL"))
    // What the platform starts: "--config FILE" alone is "serve --config FILE".
    val words = if (args.firstOrNull() == "--config") arrayOf("serve", *args) else args
    val commands = listOf(Serve(), Submit(), Show(), Cancel(), Explain(), Release(), Status(), StandIns(), Rehearse())
    // The daemon starts on a small share of a core: it loads nothing of what others may do.
    val others = if (words.firstOrNull() ==
        "serve"
    ) {
        emptyList()
    } else {
        listOf(DrmaaCommand(), TemplateCommand(), SweepCommand(), LabCommand())
    }
    Elderhitch().subcommands(commands + others).main(words)
}

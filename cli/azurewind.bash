# Completes the commands of azurewind in bash.  If AZUREWIND_PLATFORM is set,
# the names of organisations, endpoints and keys are read from the platform.

_azurewind_ask()
{
  [ -n "$AZUREWIND_PLATFORM" ] || return
  azurewind "$@" --timeout-ms=500 2>/dev/null
}

_azurewind()
{
  local word=${COMP_WORDS[COMP_CWORD]}
  local first=${COMP_WORDS[1]} second=${COMP_WORDS[2]}
  local words=""
  COMPREPLY=()
  case $word in
  -*)
    words="--platform= --timeout-ms= --json --help"
    case "$first $second" in
    "config apply") words="$words --if-version= --author=" ;;
    "config get") words="$words --version" ;;
    "config explain") words="$words --service= --organisation=" ;;
    "rate set" | "endpoint drain" | "endpoint undrain")
      words="$words --author=" ;;
    top\ *) words="$words --once --interval-ms=" ;;
    esac
    COMPREPLY=($(compgen -W "$words" -- "$word"))
    [[ ${COMPREPLY[0]} == *= ]] && compopt -o nospace
    return
    ;;
  esac
  case $COMP_CWORD in
  1) words="config key secret org rate endpoint status top drain" ;;
  2)
    case $first in
    config) words="check diff apply get explain reference" ;;
    key) words="create list revoke" ;;
    secret) words="create" ;;
    org) words="list" ;;
    rate) words="set" ;;
    endpoint) words="drain undrain" ;;
    status | top | drain) words=${AZUREWIND_DAEMONS//,/ } ;;
    esac
    ;;
  *)
    case "$first $second" in
    "config check" | "config diff" | "config apply")
      COMPREPLY=($(compgen -f -- "$word"))
      return
      ;;
    "config explain")
      words=$(azurewind config reference 2>/dev/null | sed -n 's/^| `\([a-z_]*\)`.*/\1/p')
      ;;
    "key create")
      words=$(_azurewind_ask org list | awk 'NR > 1 { print $2 }' | sort -u)
      ;;
    "key revoke")
      words=$(_azurewind_ask key list | awk 'NR > 1 && $3 == "no" { print $1 }')
      ;;
    "rate set")
      case $COMP_CWORD in
      3) words=$(_azurewind_ask org list | awk 'NR > 1 { print $1 }' | sort -u) ;;
      4) words=$(_azurewind_ask org list | awk -v s="${COMP_WORDS[3]}" 'NR > 1 && $1 == s { print $2 }') ;;
      esac
      ;;
    "endpoint drain" | "endpoint undrain")
      [ "$COMP_CWORD" = 3 ] \
        && words=$(_azurewind_ask org list | awk 'NR > 1 { print $1 }' | sort -u)
      ;;
    status\ * | top\ * | drain\ *) words=${AZUREWIND_DAEMONS//,/ } ;;
    esac
    ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$word"))
}

complete -F _azurewind azurewind
